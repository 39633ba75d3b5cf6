package org.cranberrygauge.decision.quarantine;

/** What a request may do, as far as its past crashes tell. */
public sealed interface QuarantineStatus {

    /** The request runs like any other. */
    enum Clear implements QuarantineStatus {
        /** The only instance. */
        INSTANCE
    }

    /** The request runs only alone among suspects and never on the last healthy backend server of its target. */
    enum Suspect implements QuarantineStatus {
        /** The only instance. */
        INSTANCE
    }

    /**
     * The request is refused.
     *
     * @param remainingMillis The time until the quarantine ends in milliseconds.
     */
    record Quarantined(long remainingMillis) implements QuarantineStatus {}
}
