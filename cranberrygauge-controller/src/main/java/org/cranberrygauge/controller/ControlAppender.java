package org.cranberrygauge.controller;

import io.vertx.core.Future;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.log.LogAppender;

/**
 * Appends control records to the log, with at most one record per key in flight.
 *
 * <p>Invariants: a key becomes free only after its record has been read back or its append has failed, so that each
 * decision sees the effect of the previous one. The number of records that queue up during a log outage is therefore
 * bounded by the number of keys, however long the outage lasts. Safe for use by several threads.
 */
public final class ControlAppender {

    /** Stands for the offset of a record whose append is in flight; greater than any offset that can be read. */
    private static final long IN_FLIGHT = Long.MAX_VALUE;

    private final LogAppender appender;

    private final Blackboard blackboard;

    /** Log offset of the latest record of each key, or {@link #IN_FLIGHT}. */
    private final ConcurrentMap<String, Long> offsets = new ConcurrentHashMap<>();

    public ControlAppender(LogAppender appender, Blackboard blackboard) {
        this.appender = appender;
        this.blackboard = blackboard;
    }

    /** Returns whether a record with this key may be appended, that is, none is in flight or still to be read back. */
    public boolean isFree(String key) {
        Long offset = offsets.get(key);
        if (offset == null) {
            return true;
        }
        if (offset > blackboard.position().offset()) {
            return false;
        }
        offsets.remove(key, offset);
        return true;
    }

    /**
     * Appends a record unless one with the same key is in flight or still to be read back.
     *
     * @return The future offset of the entry, or empty if the key is not free.
     */
    public Optional<Future<Long>> append(String key, LogRecord record) {
        long readOffset = blackboard.position().offset();
        offsets.values().removeIf(offset -> offset <= readOffset);
        if (!isFree(key) || offsets.putIfAbsent(key, IN_FLIGHT) != null) {
            return Optional.empty();
        }
        return Optional.of(appender.append(record)
                .onSuccess(offset -> offsets.put(key, offset))
                .onFailure(failure -> offsets.remove(key)));
    }
}
