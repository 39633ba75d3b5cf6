package org.cranberrygauge.decision.fleet;

/**
 * What a planner reckons with.
 *
 * @param tokensPerSecond The output tokens a second that one backend server gives under full load.
 * @param utilization The share of that rate which is planned for, from 0 to 1.
 * @param startMillis The time from an order to a live backend server in milliseconds, without the wait for weights.
 * @param weightsMillis The time that the weight store takes for one backend server, one after another, in milliseconds.
 * @param idleMillis The time for which a backend server must be idle before it is handed back in milliseconds.
 */
public record FleetParameters(
        double tokensPerSecond, double utilization, long startMillis, long weightsMillis, long idleMillis) {

    /** The part of a server that does not count, against rounding. */
    private static final double ROUNDING = 1e-9;

    /** The parameters where nothing else is set. */
    private static final FleetParameters STANDARD = new FleetParameters(400, 0.7, 60_000, 20_000, 300_000);

    /**
     * Returns the parameters where nothing else is set.
     *
     * @return The standard parameters.
     */
    public static FleetParameters standard() {
        return STANDARD;
    }

    /**
     * Returns the time until a number of backend servers ordered now are live.
     *
     * @param servers The number.
     * @return The time in milliseconds.
     */
    public long leadMillis(int servers) {
        return startMillis + weightsMillis * Math.max(1, servers);
    }

    /**
     * Returns the number of backend servers for a demand.
     *
     * @param demandTokensPerSecond The demand in output tokens a second.
     * @return The number.
     */
    public int serversFor(double demandTokensPerSecond) {
        return (int) Math.ceil(demandTokensPerSecond / (tokensPerSecond * utilization) - ROUNDING);
    }
}
