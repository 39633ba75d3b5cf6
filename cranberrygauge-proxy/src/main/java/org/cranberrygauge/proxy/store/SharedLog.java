package org.cranberrygauge.proxy.store;

import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * A log with topics that all hosts share.
 *
 * <p>Failures are {@link SharedLogException}s. An append that fails without an answer may still be carried out. Safe for use
 * by several threads.
 */
public interface SharedLog {

    /**
     * Appends a record.
     *
     * @param topic The topic.
     * @param record The record.
     * @param expectedEnd The offset at which the topic must end, or nothing if it may end anywhere.
     * @return The offset of the record.
     */
    Future<Long> append(String topic, byte[] record, OptionalLong expectedEnd);

    /**
     * Appends a record that replaces those of the same key.
     *
     * @param topic The topic.
     * @param key The key.
     * @param value The value.
     * @return The offset of the record.
     */
    Future<Long> put(String topic, String key, byte[] value);

    /**
     * Reads records.
     *
     * @param topic The topic.
     * @param from The offset of the first record.
     * @param waitMillis The longest time to wait for a record, in milliseconds.
     * @return The records.
     */
    Future<LogSlice> read(String topic, long from, long waitMillis);

    /**
     * Reads the newest record of each key.
     *
     * @param topic The topic.
     * @return The values.
     */
    Future<KeyedValues> newest(String topic);

    /**
     * Joins a group or stays in it; a group deals the parts of its topic among its members.
     *
     * @param group The group.
     * @param member The member.
     * @param topic The topic.
     * @param lifetimeMillis The time without a join after which the member is dropped, in milliseconds.
     * @param generation The last generation that the member was told, or 0.
     * @return What the member holds.
     */
    Future<GroupAssignment> join(String group, String member, String topic, long lifetimeMillis, long generation);

    /**
     * Leaves a group.
     *
     * @param group The group.
     * @param member The member.
     * @return The end of the call.
     */
    Future<Void> leave(String group, String member);

    /**
     * Records that were read.
     *
     * @param end The offset at which the topic ends.
     * @param next The offset after the last record that was read.
     * @param records The records in order.
     */
    record LogSlice(long end, long next, List<byte[]> records) {}

    /**
     * The newest value of each key.
     *
     * @param values The values by key.
     * @param end The offset from which later records are read.
     */
    record KeyedValues(Map<String, byte[]> values, long end) {}

    /**
     * What a member of a group holds.
     *
     * @param generation The generation, which rises with each change of the group.
     * @param holdsFirst Whether the member holds the first part of the topic, which only one member does.
     */
    record GroupAssignment(long generation, boolean holdsFirst) {}
}
