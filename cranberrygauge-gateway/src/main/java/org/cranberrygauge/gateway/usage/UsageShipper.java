package org.cranberrygauge.gateway.usage;

import io.vertx.core.Future;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.runtime.log.LogAppender;

/**
 * Sends counted usage to the log.
 *
 * <p>Invariants: at most one delta is under way. Used on one Vert.x context.
 */
public final class UsageShipper {

    /** The counter. */
    private final UsageCounter counter;

    /** The appender. */
    private final LogAppender appender;

    /** Whether a delta is under way. */
    private boolean busy;

    /**
     * Creates a shipper.
     *
     * @param counter The counter.
     * @param appender The appender.
     */
    public UsageShipper(UsageCounter counter, LogAppender appender) {
        this.counter = counter;
        this.appender = appender;
    }

    /**
     * Sends a delta if one is due and none is under way.
     *
     * @return Completes when the delta stands in the log.
     */
    public Future<Void> ship() {
        if (busy || !counter.isDirty()) {
            return Future.succeededFuture();
        }
        busy = true;
        UsageDelta delta = counter.next();
        return appender.append(delta)
                .onSuccess(offset -> counter.confirm(delta))
                .onFailure(failure -> counter.fail())
                .onComplete(done -> busy = false)
                .mapEmpty();
    }
}
