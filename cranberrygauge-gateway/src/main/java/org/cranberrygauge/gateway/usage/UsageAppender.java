package org.cranberrygauge.gateway.usage;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.runtime.log.LogAppender;

/**
 * Appends counted usage to the log.
 *
 * <p>Invariants: at most one delta is in flight. Safe for use by several threads; all work is done on one Vert.x
 * context.
 */
public final class UsageAppender {

    private final Context context;

    private final UsageCounter counter;

    private final LogAppender appender;

    /** The delta in flight, or null; used on the context only. */
    private Future<Long> inFlight;

    public UsageAppender(Vertx vertx, UsageCounter counter, LogAppender appender) {
        this.context = vertx.getOrCreateContext();
        this.counter = counter;
        this.appender = appender;
    }

    /** Appends a delta if there is unrecorded usage and no delta is in flight. */
    public void appendIfDue() {
        context.runOnContext(ignored -> {
            if (inFlight == null && counter.isDirty()) {
                send();
            }
        });
    }

    /**
     * Appends deltas until all counted usage is in the log.
     *
     * @return Completes then, or fails if the queue of the log is full.
     */
    public Future<Void> flush() {
        Promise<Void> promise = Promise.promise();
        context.runOnContext(ignored -> flush(promise));
        return promise.future();
    }

    private void flush(Promise<Void> promise) {
        if (inFlight == null && !counter.isDirty()) {
            promise.complete();
            return;
        }
        Future<Long> current = inFlight == null ? send() : inFlight;
        current.onFailure(promise::tryFail).onSuccess(offset -> context.runOnContext(ignored -> flush(promise)));
    }

    private Future<Long> send() {
        UsageDelta delta = counter.next();
        Promise<Long> promise = Promise.promise();
        inFlight = promise.future();
        appender.append(delta)
                .onComplete(appended -> context.runOnContext(ignored -> {
                    inFlight = null;
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
