package org.cranberrygauge.decision.quarantine;

/** What one gateway tells its peers of suspected requests; times are ages, so that clocks need not agree. */
public sealed interface QuarantineObservation {

    /**
     * Returns the request that it is about.
     *
     * @return The fingerprint.
     */
    RequestFingerprint fingerprint();

    /**
     * A backend server crashed while it ran the request.
     *
     * @param fingerprint The request.
     * @param server The name of the backend server.
     * @param runMillis The time for which the request had run in milliseconds.
     * @param ageMillis The time since the crash in milliseconds.
     */
    record Crashed(RequestFingerprint fingerprint, String server, long runMillis, long ageMillis)
            implements QuarantineObservation {}

    /**
     * The request was completed after it had been suspected.
     *
     * @param fingerprint The request.
     * @param ageMillis The time since the completion in milliseconds.
     */
    record Cleared(RequestFingerprint fingerprint, long ageMillis) implements QuarantineObservation {}

    /**
     * A suspected request runs.
     *
     * @param fingerprint The request.
     * @param server The name of the backend server.
     */
    record Running(RequestFingerprint fingerprint, String server) implements QuarantineObservation {}
}
