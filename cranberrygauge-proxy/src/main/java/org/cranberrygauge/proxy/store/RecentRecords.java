package org.cranberrygauge.proxy.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The newest records of a topic, kept so that they can be passed on to other hosts.
 *
 * <p>Invariant: the records are those of all offsets from the first kept one up to the end. Used by one thread.
 */
public final class RecentRecords {

    /** The highest number of bytes that are kept. */
    private static final int KEPT_BYTES = 128 * 1024;

    /** The records in order. */
    private final Deque<byte[]> records = new ArrayDeque<>();

    /** The offset after the last record. */
    private long end = -1;

    /** The bytes of all records that are kept. */
    private int bytes;

    /**
     * Adds records; those before them are forgotten if there is a gap.
     *
     * @param first The offset of the first record.
     * @param added The records.
     */
    public void add(long first, List<byte[]> added) {
        if (first != end) {
            records.clear();
            bytes = 0;
            end = first;
        }
        for (byte[] record : added) {
            records.addLast(record);
            bytes += record.length;
            end++;
        }
        while (bytes > KEPT_BYTES) {
            bytes -= records.removeFirst().length;
        }
    }

    /**
     * Returns the records from an offset on.
     *
     * @param next The offset.
     * @param maximumBytes The highest number of bytes to return.
     * @return The records, or empty if the first of them is no longer kept or has more bytes.
     */
    public Optional<Part> since(long next, int maximumBytes) {
        long offset = end - records.size();
        if (end < 0 || next < offset) {
            return Optional.empty();
        }
        List<byte[]> wanted = new ArrayList<>();
        int size = 0;
        for (byte[] record : records) {
            if (offset >= next) {
                size += record.length;
                if (size > maximumBytes) {
                    return wanted.isEmpty() ? Optional.empty() : Optional.of(new Part(wanted, false));
                }
                wanted.add(record);
            }
            offset++;
        }
        return Optional.of(new Part(wanted, true));
    }

    /**
     * Records in order.
     *
     * @param records The records.
     * @param complete Whether there are no others after them.
     */
    public record Part(List<byte[]> records, boolean complete) {}
}
