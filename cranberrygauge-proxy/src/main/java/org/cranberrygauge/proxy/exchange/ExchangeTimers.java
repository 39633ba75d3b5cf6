package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Vertx;
import java.util.OptionalLong;

/**
 * The timers of one exchange: its deadline, the silence of the backend server that has its request, and the confirmation of
 * a stream's end.
 *
 * <p>Invariant: only timers that were set are cancelled, since every number may be that of a timer of others. Not
 * thread-safe.
 */
final class ExchangeTimers {

    /** The time without a response after which a backend server counts as silent. */
    private static final long SILENCE_MILLIS = 700;

    /** The time within which another server confirms the end of a stream; callers leave after a pause of 2 s. */
    private static final long END_CONFIRMATION_MILLIS = 1_500;

    private final Vertx vertx;

    private OptionalLong deadline = OptionalLong.empty();

    private OptionalLong silence = OptionalLong.empty();

    private OptionalLong endConfirmation = OptionalLong.empty();

    ExchangeTimers(Vertx vertx) {
        this.vertx = vertx;
    }

    /** @param remainingMillis The time until the deadline in milliseconds; at least 1. */
    void startDeadline(long remainingMillis, Runnable action) {
        deadline = OptionalLong.of(vertx.setTimer(remainingMillis, fired -> action.run()));
    }

    void startSilence(Runnable action) {
        silence = OptionalLong.of(vertx.setTimer(SILENCE_MILLIS, fired -> action.run()));
    }

    void cancelSilence() {
        silence.ifPresent(vertx::cancelTimer);
        silence = OptionalLong.empty();
    }

    /** Starts the time within which an end has to be confirmed, unless it runs already. */
    void startEndConfirmation(Runnable action) {
        cancelEndConfirmation();
        endConfirmation = OptionalLong.of(vertx.setTimer(END_CONFIRMATION_MILLIS, fired -> action.run()));
    }

    private void cancelEndConfirmation() {
        endConfirmation.ifPresent(vertx::cancelTimer);
        endConfirmation = OptionalLong.empty();
    }

    void cancelAll() {
        cancelSilence();
        cancelEndConfirmation();
        deadline.ifPresent(vertx::cancelTimer);
        deadline = OptionalLong.empty();
    }
}
