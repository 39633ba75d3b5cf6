package org.cranberrygauge.decision.quarantine;

/**
 * The crash of a backend server during the run of a request, on the monotonic clock of this process.
 *
 * @param startedAtMillis The time at which the run started in milliseconds.
 * @param crashedAtMillis The time of the crash in milliseconds.
 */
record CrashRecord(String server, long startedAtMillis, long crashedAtMillis) {

    /** The tolerance for times that a peer reported as ages, in milliseconds. */
    private static final long AGE_TOLERANCE_MILLIS = 20;

    /**
     * Returns whether this run started after another crash, so that the request may have caused both.
     *
     * @param earlier The other crash.
     */
    boolean startedAfter(CrashRecord earlier) {
        return startedAtMillis + AGE_TOLERANCE_MILLIS >= earlier.crashedAtMillis
                && crashedAtMillis >= earlier.crashedAtMillis
                && !equals(earlier);
    }
}
