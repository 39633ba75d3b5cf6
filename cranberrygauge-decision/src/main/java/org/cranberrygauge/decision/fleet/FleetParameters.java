package org.cranberrygauge.decision.fleet;

/**
 * The capacity and timing assumptions of a fleet planner.
 *
 * @param tokensPerSecond The output tokens per second of one backend server under full load.
 * @param utilization The fraction of that rate to plan for, from 0 to 1.
 * @param startMillis The time from an order to a live backend server in milliseconds, without the wait for weights.
 * @param weightsMillis The time in milliseconds that the weight store takes per backend server; it serves one after
 *     another.
 * @param idleMillis The time in milliseconds for which a backend server must be idle before it is released.
 */
public record FleetParameters(
        double tokensPerSecond, double utilization, long startMillis, long weightsMillis, long idleMillis) {

    /** The fraction of a server that is ignored, against rounding errors. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** The default parameters. */
    private static final FleetParameters STANDARD = new FleetParameters(400, 0.7, 60_000, 20_000, 300_000);

    /** Returns the default parameters. */
    public static FleetParameters standard() {
        return STANDARD;
    }

    /** Returns the time in milliseconds until a number of backend servers ordered now are live. */
    public long leadMillis(int servers) {
        return startMillis + weightsMillis * Math.max(1, servers);
    }

    /**
     * Returns the number of backend servers needed for a demand.
     *
     * @param demandTokensPerSecond The demand in output tokens per second.
     */
    public int serversFor(double demandTokensPerSecond) {
        return (int) Math.ceil(demandTokensPerSecond / (tokensPerSecond * utilization) - ROUNDING_TOLERANCE);
    }
}
