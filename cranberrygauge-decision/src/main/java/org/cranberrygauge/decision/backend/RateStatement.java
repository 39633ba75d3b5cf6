package org.cranberrygauge.decision.backend;

/** What one response of a backend server states about the rate of requests that it takes. Immutable. */
public sealed interface RateStatement {

    /** Returns the statement of a response that names a limit. */
    static RateStatement limited(double perSecond) {
        return new Limited(perSecond);
    }

    /** The statements without a figure. */
    enum Standard implements RateStatement {
        /** The server takes any rate. */
        UNLIMITED,
        /** The response can't be read, so that what was known before still holds. */
        UNREADABLE
    }

    /**
     * A limit on the requests of all hosts together.
     *
     * @param perSecond The requests per second; finite and not negative.
     */
    record Limited(double perSecond) implements RateStatement {}
}
