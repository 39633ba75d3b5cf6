package org.cranberrygauge.decision.quarantine;

/**
 * An observation of a suspected request that a gateway reports to its peers. Times are sent as ages, because clocks
 * need not agree.
 */
public sealed interface QuarantineObservation {

    /** Returns the request that the observation is about. */
    RequestFingerprint fingerprint();

    /**
     * A backend server crashed while it ran the request.
     *
     * @param runMillis The time for which the request had run, in milliseconds.
     * @param ageMillis The time since the crash in milliseconds.
     */
    record Crashed(RequestFingerprint fingerprint, String server, long runMillis, long ageMillis)
            implements QuarantineObservation {}

    /**
     * The request was completed after it had been suspected.
     *
     * @param ageMillis The time since the completion in milliseconds.
     */
    record Cleared(RequestFingerprint fingerprint, long ageMillis) implements QuarantineObservation {}

    /** A suspected request is running. */
    record Running(RequestFingerprint fingerprint, String server) implements QuarantineObservation {}
}
