package org.cranberrygauge.proxy.store;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * A log with topics that all hosts share.
 *
 * <p>Calls fail with {@link SharedLogException}. An append that fails without a response may still be carried out.
 * Thread-safe.
 */
public interface SharedLog {

    /**
     * Appends a record and returns its offset.
     *
     * @param expectedEnd The offset at which the topic must end, or empty to append unconditionally.
     */
    Future<Long> append(String topic, byte[] record, OptionalLong expectedEnd);

    /** Appends a record that replaces earlier ones of the same key, and returns its offset. */
    Future<Long> put(String topic, String key, byte[] value);

    /**
     * Reads records. A read may end before the topic does, but returns one record at least if there is any.
     *
     * @param fromOffset The offset of the first record.
     * @param waitMillis The maximum time to wait for a record, in milliseconds.
     */
    Future<LogSlice> read(String topic, long fromOffset, long waitMillis);

    /**
     * Reads all records up to the end of the topic, by as many reads as that takes.
     *
     * @param fromOffset The offset of the first record.
     */
    default Future<LogSlice> readToEnd(String topic, long fromOffset) {
        return read(topic, fromOffset, 0)
                .compose(slice -> slice.isComplete()
                        ? Future.succeededFuture(slice)
                        : readToEnd(topic, slice.next()).map(slice::followedBy));
    }

    /** Reads the newest value of each key. */
    Future<KeyedValues> newest(String topic);

    /**
     * Joins a group or renews the membership. A group assigns the partitions of its topic to its members.
     *
     * @param lifetimeMillis The time without a join after which the member is removed, in milliseconds.
     * @param generation The last generation that the member received; 0 before the first.
     */
    Future<GroupAssignment> join(String group, String member, String topic, long lifetimeMillis, long generation);

    /** Returns the era of the log, as the responses to this host and to others name it. */
    StoreEra era();

    /** Leaves a group. */
    Future<Void> leave(String group, String member);

    /**
     * The result of a read.
     *
     * @param end The offset at which the topic ends.
     * @param next The offset after the last record that was read.
     * @param records The records in order.
     */
    record LogSlice(long end, long next, List<byte[]> records) {

        /** Tells whether no records follow, as of the response. */
        public boolean isComplete() {
            return next >= end;
        }

        /** Returns the records of this read and of a later one that began where this one ended. */
        LogSlice followedBy(LogSlice later) {
            List<byte[]> all = new ArrayList<>(records);
            all.addAll(later.records());
            return new LogSlice(later.end(), later.next(), all);
        }
    }

    /**
     * The newest value of each key.
     *
     * @param end The offset from which later records are to be read.
     */
    record KeyedValues(Map<String, byte[]> values, long end) {}

    /**
     * The assignment of a group member.
     *
     * @param era The era of the log in which it was assigned.
     * @param generation The generation, which increases with each change of the group within an era.
     * @param holdsFirst Whether the member holds the topic's first partition, which only one member does.
     */
    record GroupAssignment(long era, long generation, boolean holdsFirst) {

        /** The number of generations of one era. */
        private static final long GENERATIONS_PER_ERA = 1L << 24;

        /** Returns a number that increases with each change of the group, also over eras. */
        public long token() {
            return era * GENERATIONS_PER_ERA + generation;
        }
    }
}
