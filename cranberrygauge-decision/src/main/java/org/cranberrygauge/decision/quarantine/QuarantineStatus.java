package org.cranberrygauge.decision.quarantine;

/** The restrictions on a request that follow from its past crashes. */
public sealed interface QuarantineStatus {

    /** The request is not restricted. */
    enum Clear implements QuarantineStatus {
        INSTANCE
    }

    /**
     * The request runs only on a backend server without another suspect, and never on the last healthy one of its
     * target.
     */
    enum Suspect implements QuarantineStatus {
        INSTANCE
    }

    /**
     * The request is refused.
     *
     * @param remainingMillis The time until the quarantine ends, in milliseconds.
     */
    record Quarantined(long remainingMillis) implements QuarantineStatus {}
}
