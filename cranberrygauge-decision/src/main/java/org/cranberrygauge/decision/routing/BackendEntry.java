package org.cranberrygauge.decision.routing;

import org.cranberrygauge.model.backend.BackendServer;

/**
 * The state that one gateway keeps of one backend server.
 *
 * <p>Mutable and not thread-safe; confined to the {@link BackendTable} that owns it.
 */
final class BackendEntry {

    /** The weight of the newest sample in the moving average of the time between tokens. */
    private static final double SMOOTHING = 0.2;

    /** The number of distinct rounding offsets. */
    private static final int ROUNDING_OFFSETS = 97;

    BackendServer server;

    /** Whether the server may get new work. */
    boolean available = true;

    /** Whether the server is in the free part of its {@link TargetServers}. */
    boolean free;

    /** The monotonic time until which the server gets no work after a failure, in milliseconds; 0 for none. */
    long cooldownUntilMillis;

    /**
     * The offset in slots, from 0 to 1, that is added before shares of this server's slots are rounded. It differs
     * between servers so that rounding does not favour the same gateway everywhere.
     */
    final double roundingOffset;

    /** The requests in flight from this gateway. */
    int ownInFlight;

    /** The requests in flight from peers, as last reported. */
    int peersInFlight;

    /** The number of requests that this gateway may have in flight. */
    int ownLimit;

    /** The number of requests that the server may get while it is being readmitted after an ejection. */
    int readmissionLimit = Integer.MAX_VALUE;

    /** The moving average of the time between tokens in milliseconds; 0 while unknown. */
    double intervalMillis;

    /** The number of samples of the time between tokens since the readmission limit last changed. */
    int samples;

    /** The monotonic time of the last sample in milliseconds. */
    long measuredAtMillis;

    /** The time between tokens relative to that of the peers. */
    double slowness = 1;

    /** The monotonic time until which the server is ejected, in milliseconds; 0 for none. */
    long ejectedUntilMillis;

    /** The length of the last ejection in milliseconds. */
    long ejectionMillis;

    BackendEntry(BackendServer server) {
        this.server = server;
        roundingOffset = Math.floorMod(server.name().hashCode() * 31, ROUNDING_OFFSETS) / (double) ROUNDING_OFFSETS;
    }

    /** Replaces the server. The table must place the entry again afterwards. */
    void replace(BackendServer replacement) {
        server = replacement;
        free = false;
    }

    /** Adds a sample of the time between tokens. */
    void measured(long nowMillis, double sampleMillis) {
        intervalMillis =
                intervalMillis == 0 ? sampleMillis : intervalMillis + SMOOTHING * (sampleMillis - intervalMillis);
        samples++;
        measuredAtMillis = nowMillis;
    }

    BackendView view() {
        return new BackendView(server, ownInFlight, peersInFlight, ownLimit, slowness);
    }
}
