package org.cranberrygauge.decision.backend;

/**
 * Whether a host may send a request to a backend server, by what the server states of itself. Immutable.
 *
 * @param kind Whether, and if not, why not.
 * @param fromMillis The monotonic time from which a request may be sent, in milliseconds; the current time unless the
 *     server pauses, and {@link Long#MAX_VALUE} if it is never available again.
 */
public record Availability(Kind kind, long fromMillis) {

    /** Tells whether a request may be sent now. */
    public boolean isOpen() {
        return kind == Kind.OPEN;
    }

    /** Tells whether a request may be sent at some time. */
    public boolean isEverOpen() {
        return fromMillis < Long.MAX_VALUE;
    }

    /** Whether a server is available, or why it isn't. */
    public enum Kind {
        /** A request may be sent now. */
        OPEN,
        /** The server states a limit, and no permit is held. */
        NEEDS_PERMIT,
        /** The server wants no requests for a time, or fewer after it. */
        PAUSED,
        /** The server leaves. */
        LEAVING,
        /** The stream must go on at another version of the server's software. */
        OTHER_VERSION,
        /** Streams must not begin at this version of the server's software before the shared log holds it. */
        VERSION_NOT_STORED
    }
}
