package org.cranberrygauge.decision.quarantine;

/**
 * The crash of a backend server during the run of a request, on the monotonic clock of this process.
 *
 * @param server The name of the backend server.
 * @param startedAtMillis The time at which the run started in milliseconds.
 * @param crashedAtMillis The time of the crash in milliseconds.
 */
record CrashRecord(String server, long startedAtMillis, long crashedAtMillis) {

    /** The error of times that a peer told as ages in milliseconds. */
    private static final long SKEW_MILLIS = 20;

    /**
     * Tells whether this run started after another crash, so that the request may have caused both.
     *
     * @param earlier The other crash.
     * @return Whether it did.
     */
    boolean follows(CrashRecord earlier) {
        return startedAtMillis + SKEW_MILLIS >= earlier.crashedAtMillis
                && crashedAtMillis >= earlier.crashedAtMillis
                && !equals(earlier);
    }
}
