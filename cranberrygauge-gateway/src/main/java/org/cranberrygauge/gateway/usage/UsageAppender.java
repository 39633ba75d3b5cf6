package org.cranberrygauge.gateway.usage;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.runtime.log.LogAppender;

/**
 * Sends counted usage to the log.
 *
 * <p>Invariants: at most one delta is under way. Safe for use by several threads; all work happens on one Vert.x context.
 */
public final class UsageShipper {

    /** The context on which all work happens. */
    private final Context context;

    /** The counter. */
    private final UsageCounter counter;

    /** The appender. */
    private final LogAppender appender;

    /** The delta that is under way, or null; used on the context only. */
    private Future<Long> underWay;

    /**
     * Creates a shipper.
     *
     * @param vertx The Vert.x instance.
     * @param counter The counter.
     * @param appender The appender.
     */
    public UsageShipper(Vertx vertx, UsageCounter counter, LogAppender appender) {
        this.context = vertx.getOrCreateContext();
        this.counter = counter;
        this.appender = appender;
    }

    /** Sends a delta if one is due and none is under way. */
    public void ship() {
        context.runOnContext(ignored -> {
            if (underWay == null && counter.isDirty()) {
                send();
            }
        });
    }

    /**
     * Sends deltas until all that was counted stands in the log.
     *
     * @return Completes then, or fails once the log's queue takes no more.
     */
    public Future<Void> flush() {
        Promise<Void> promise = Promise.promise();
        context.runOnContext(ignored -> flush(promise));
        return promise.future();
    }

    /**
     * Goes on to flush.
     *
     * @param promise Completes when all that was counted stands in the log.
     */
    private void flush(Promise<Void> promise) {
        if (underWay == null && !counter.isDirty()) {
            promise.complete();
            return;
        }
        Future<Long> current = underWay == null ? send() : underWay;
        current.onFailure(promise::tryFail).onSuccess(offset -> context.runOnContext(ignored -> flush(promise)));
    }

    /**
     * Sends a delta.
     *
     * @return The offset of its entry.
     */
    private Future<Long> send() {
        UsageDelta delta = counter.next();
        Promise<Long> promise = Promise.promise();
        underWay = promise.future();
        appender.append(delta)
                .onComplete(appended -> context.runOnContext(ignored -> {
                    underWay = null;
                    if (appended.failed()) {
                        counter.fail();
                        promise.fail(appended.cause());
                        return;
                    }
                    counter.confirm(delta);
                    promise.complete(appended.result());
                }));
        return promise.future();
    }
}
