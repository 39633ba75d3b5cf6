package org.cranberrygauge.controller;

import io.vertx.core.Future;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.runtime.log.LogAppender;
import org.cranberrygauge.runtime.state.ProcessState;

/**
 * Appends the records of control, at most one of each purpose at a time.
 *
 * <p>Invariants: a purpose is free again only once its record was read back or was not taken, so that each decision sees
 * the effect of the one before it; so the number of records that wait in a log outage is the number of purposes, however
 * long it lasts. Safe for use by several threads.
 */
public final class ControlAppender {

    /** The place of a record that is under way. */
    private static final long UNDER_WAY = Long.MAX_VALUE;

    /** The appender. */
    private final LogAppender appender;

    /** The blackboard, which tells how far the log is read. */
    private final ProcessState blackboard;

    /** The offset at which the record of each purpose stands. */
    private final ConcurrentMap<String, Long> offsets = new ConcurrentHashMap<>();

    /**
     * Creates an appender.
     *
     * @param appender The appender.
     * @param blackboard The blackboard, which tells how far the log is read.
     */
    public ControlAppender(LogAppender appender, ProcessState blackboard) {
        this.appender = appender;
        this.blackboard = blackboard;
    }

    /**
     * Tells whether a record of a purpose may be appended.
     *
     * @param purpose The purpose.
     * @return Whether none is under way or unread.
     */
    public boolean isFree(String purpose) {
        Long offset = offsets.get(purpose);
        if (offset == null) {
            return true;
        }
        if (offset > blackboard.position().offset()) {
            return false;
        }
        offsets.remove(purpose, offset);
        return true;
    }

    /**
     * Appends a record unless one of its purpose is under way or unread.
     *
     * @param purpose The purpose.
     * @param record The record.
     * @return The offset of its entry, or nothing if the record was not taken.
     */
    public Optional<Future<Long>> append(String purpose, LogRecord record) {
        long readOffset = blackboard.position().offset();
        offsets.values().removeIf(offset -> offset <= readOffset);
        if (!isFree(purpose) || offsets.putIfAbsent(purpose, UNDER_WAY) != null) {
            return Optional.empty();
        }
        return Optional.of(appender.append(record)
                .onSuccess(offset -> offsets.put(purpose, offset))
                .onFailure(failure -> offsets.remove(purpose)));
    }
}
