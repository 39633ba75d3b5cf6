package org.cranberrygauge.decision.hostload;

import java.util.function.BooleanSupplier;

/**
 * Decides whether a request may still be sent to the server that was chosen for it.
 *
 * <p>Between the choice and the send lies at least one turn of the event loop, which looks for input. While a host is out of
 * processor time, a turn takes so long that the caller may have left, or the server may have begun to leave, since then.
 * Stateless and thread-safe.
 */
public enum LateSend {
    /** The request may be sent. */
    SEND,
    /** The caller has left. */
    CALLER_LEFT,
    /** The server takes no more requests, or this host sends it none any more; another one may. */
    NOT_ALLOWED;

    /** The time from which on a turn of the event loop may have missed something. */
    static final long LATE_MILLIS = 50;

    /**
     * Decides whether a request may be sent. What may have changed is examined only if it can have changed unnoticed.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param sinceMillis The monotonic time of the choice, after which the event loop has looked for input, in milliseconds.
     * @param callerAwaits Reads what the caller has sent, and tells whether it still awaits the response.
     * @param allowed Tells whether the host may still send the request, and the server accepts new ones, by all that is known now.
     */
    public static LateSend decide(
            long nowMillis, long sinceMillis, BooleanSupplier callerAwaits, BooleanSupplier allowed) {
        if (nowMillis - sinceMillis < LATE_MILLIS) {
            return SEND;
        }
        if (!callerAwaits.getAsBoolean()) {
            return CALLER_LEFT;
        }
        return allowed.getAsBoolean() ? SEND : NOT_ALLOWED;
    }
}
