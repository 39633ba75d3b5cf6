package org.cranberrygauge.proxy.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The newest records of a topic, retained to be relayed to other hosts.
 *
 * <p>Invariant: the records are contiguous, from the first retained offset up to the end. Not thread-safe.
 */
public final class RecentRecords {

    /** The maximum size of all retained records. */
    private static final int MAXIMUM_BYTES = 128 * 1024;

    private final Deque<byte[]> records = new ArrayDeque<>();

    /** The offset after the last record; -1 before the first. */
    private long end = -1;

    private int totalBytes;

    /** Returns the offset after the last record; -1 before the first. */
    public long end() {
        return end;
    }

    /**
     * Adds records. Those before the end are retained already, if the first of them is. If the records don't continue at
     * the end, all earlier ones are discarded.
     *
     * @param first The offset of the first record.
     */
    public void add(long first, List<byte[]> added) {
        boolean overlaps = first < end && first >= end - records.size() && first + added.size() >= end;
        if (!overlaps && first != end) {
            records.clear();
            totalBytes = 0;
            end = first;
        }
        for (byte[] record : added.subList((int) (end - first), added.size())) {
            records.addLast(record);
            totalBytes += record.length;
            end++;
        }
        while (totalBytes > MAXIMUM_BYTES) {
            totalBytes -= records.removeFirst().length;
        }
    }

    /**
     * Returns the records from an offset on.
     *
     * @param maximumBytes The maximum size of the returned records.
     * @return The records, or empty if the first of them is not retained or exceeds the maximum.
     */
    public Optional<Part> since(long fromOffset, int maximumBytes) {
        long offset = end - records.size();
        if (end < 0 || fromOffset < offset) {
            return Optional.empty();
        }
        List<byte[]> found = new ArrayList<>();
        int size = 0;
        for (byte[] record : records) {
            if (offset >= fromOffset) {
                size += record.length;
                if (size > maximumBytes) {
                    return found.isEmpty() ? Optional.empty() : Optional.of(new Part(found, false));
                }
                found.add(record);
            }
            offset++;
        }
        return Optional.of(new Part(found, true));
    }

    /**
     * Consecutive records.
     *
     * @param complete Whether no further records follow.
     */
    public record Part(List<byte[]> records, boolean complete) {}
}
