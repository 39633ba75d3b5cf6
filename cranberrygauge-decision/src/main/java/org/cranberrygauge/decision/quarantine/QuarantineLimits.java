package org.cranberrygauge.decision.quarantine;

/**
 * The thresholds and times of the quarantine.
 *
 * @param crashes The number of successive crashes after which a request is quarantined.
 * @param quarantineMillis The length of the quarantine after the last crash, in milliseconds.
 * @param retentionMillis The time after which a crash is forgotten, in milliseconds.
 * @param commonCauseServers The number of backend servers crashing together from which on no single request is blamed.
 * @param commonCauseWindowMillis The time within which crashes count as simultaneous, in milliseconds.
 * @param peerRunTimeoutMillis The time after which the runs that a peer reported are assumed to have ended, in
 *     milliseconds.
 */
public record QuarantineLimits(
        int crashes,
        long quarantineMillis,
        long retentionMillis,
        int commonCauseServers,
        long commonCauseWindowMillis,
        long peerRunTimeoutMillis) {

    /** The default limits. */
    private static final QuarantineLimits STANDARD = new QuarantineLimits(2, 300_000, 1_800_000, 3, 1_000, 2_000);

    /** Returns the default limits. */
    public static QuarantineLimits standard() {
        return STANDARD;
    }
}
