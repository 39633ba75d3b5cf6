package org.cranberrygauge.decision.routing;

import org.cranberrygauge.model.backend.BackendServer;

/**
 * What one gateway knows of one backend server.
 *
 * <p>Mutable and used by one thread at a time, within the table that owns it.
 */
final class BackendEntry {

    /** The age at which a reported load counts for half in milliseconds. */
    private static final double REPORT_HALF_LIFE_MILLIS = 500;

    /** The weight of the newest sample of the time between tokens. */
    private static final double SMOOTHING = 0.2;

    /** The number of different rotations. */
    private static final int ROTATIONS = 97;

    /** The server. */
    BackendServer server;

    /** Whether it may get new work. */
    boolean available = true;

    /** Whether it is among the free ones. */
    boolean free;

    /** The monotonic time until which it gets no work after a failure in milliseconds; 0 for none. */
    long coolingUntilMillis;

    /** The part of a slot by which roundings in the division of its slots are shifted. */
    final double rotation;

    /** The requests in flight from this gateway. */
    int own;

    /** The requests in flight from peers, as they last said. */
    int others;

    /** The requests that this gateway may have in flight. */
    int ownLimit;

    /** The requests that it may get because of its speed. */
    int speedLimit = Integer.MAX_VALUE;

    /** The load that it last reported. */
    int reported;

    /** The monotonic time of that report in milliseconds. */
    long reportedAtMillis;

    /** The smoothed time between tokens in milliseconds; 0 while unknown. */
    double intervalMillis;

    /** The number of samples of the time between tokens since the last change of the speed limit. */
    int samples;

    /** The monotonic time of the last sample in milliseconds. */
    long measuredAtMillis;

    /** The time between tokens relative to its peers. */
    double slowness = 1;

    /** The monotonic time until which it is ejected in milliseconds; 0 if it isn't. */
    long ejectedUntilMillis;

    /** The length of the last ejection in milliseconds. */
    long ejectionMillis;

    /**
     * Creates an entry.
     *
     * @param server The server.
     */
    BackendEntry(BackendServer server) {
        this.server = server;
        rotation = Math.floorMod(server.name().hashCode() * 31, ROTATIONS) / (double) ROTATIONS;
    }

    /**
     * Replaces the server and places it anew.
     *
     * @param replacement The server.
     */
    void replace(BackendServer replacement) {
        server = replacement;
        free = false;
    }

    /**
     * Takes in a measured time between tokens.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param sampleMillis The time in milliseconds.
     */
    void measured(long nowMillis, double sampleMillis) {
        intervalMillis =
                intervalMillis == 0 ? sampleMillis : intervalMillis + SMOOTHING * (sampleMillis - intervalMillis);
        samples++;
        measuredAtMillis = nowMillis;
    }

    /**
     * Builds the view for routing.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The view.
     */
    BackendView view(long nowMillis) {
        double discounted = 0;
        if (reported > 0) {
            double halfLives = Math.max(0, nowMillis - reportedAtMillis) / REPORT_HALF_LIFE_MILLIS;
            discounted = reported * Math.pow(2, -halfLives);
        }
        return new BackendView(server, own, others, ownLimit, discounted, slowness);
    }
}
