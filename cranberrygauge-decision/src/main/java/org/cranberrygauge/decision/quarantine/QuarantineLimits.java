package org.cranberrygauge.decision.quarantine;

/**
 * The limits of quarantine.
 *
 * @param crashes The number of crashes, one after another, after which a request is held in quarantine.
 * @param quarantineMillis The time of quarantine after the last crash in milliseconds.
 * @param memoryMillis The time after which a crash is forgotten in milliseconds.
 * @param commonCauseServers The number of backend servers that crash together from which on no request is blamed.
 * @param commonCauseMillis The time within which crashes count as together in milliseconds.
 * @param peerRunMillis The age after which the runs that a peer told of are taken as ended in milliseconds.
 */
public record QuarantineLimits(
        int crashes,
        long quarantineMillis,
        long memoryMillis,
        int commonCauseServers,
        long commonCauseMillis,
        long peerRunMillis) {

    /** The limits of a gateway that sets none. */
    private static final QuarantineLimits STANDARD = new QuarantineLimits(2, 300_000, 1_800_000, 3, 1_000, 2_000);

    /**
     * Returns the limits of a gateway that sets none.
     *
     * @return The standard limits.
     */
    public static QuarantineLimits standard() {
        return STANDARD;
    }
}
