package org.cranberrygauge.decision.hostload;

import java.util.OptionalInt;
import java.util.random.RandomGenerator;

/**
 * Measures how far this host's event loop lags behind, and decides which new requests the host sheds.
 *
 * <p>All thresholds are fractions of a target latency. Most requests pass the event loop twice, on arrival and with the
 * response of the backend server, so that a delay of a quarter of the target latency takes half of it.
 *
 * <p>Invariants: a single late sample changes nothing; the host sheds at most {@link #MAXIMUM_SHARE} of its new
 * requests; it sheds none while fewer than half of the hosts are known to be better choices. Not thread-safe.
 */
public final class HostLoad {

    /**
     * The maximum share of new requests to shed. It is multiplied by the share of hosts that are better choices, which
     * is at least a half, so that the load of those grows by at most three eighths.
     */
    static final double MAXIMUM_SHARE = 0.75;

    /** The minimum share of hosts that must be better choices. */
    private static final double MINIMUM_BETTER_SHARE = 0.5;

    /** The time after the start in which samples are ignored, since the code of the request path is being compiled. */
    static final long START_MILLIS = 5_000;

    /** The time for which the delay must exceed the limit, so that the backlog of a freeze can be served first. */
    static final long SUSTAINED_MILLIS = 1_500;

    /** The delay above which a host becomes overloaded, as a fraction of the target latency. */
    private static final double OVERLOADED_FRACTION = 1.0 / 4;

    /** The delay up to which nothing is shed and below which a host is no longer overloaded. */
    private static final double SHED_FRACTION = 1.0 / 6;

    /** The delay at which the maximum share is shed: two passes take two thirds of the target latency. */
    private static final double MAXIMUM_FRACTION = 1.0 / 3;

    /** The delay below which a busy host is normal again. */
    private static final double NORMAL_FRACTION = 1.0 / 12;

    /** The time for which the delay must stay below the limit until an overloaded host counts as recovered. */
    static final long RECOVERY_MILLIS = 5_000;

    /**
     * The time constant of the moving average while an overloaded host's delay falls, in milliseconds. The share to shed
     * follows the delay, and with an average that falls as fast as it rises, it oscillates between none and the maximum.
     */
    private static final double RECOVERY_CONSTANT_MILLIS = 3_000;

    /** The time constant of the moving average otherwise, in milliseconds. */
    private static final double CONSTANT_MILLIS = 250;

    /** The maximum time for which one sample stands; limits the weight of a sample after a gap. */
    private static final long MAXIMUM_GAP_MILLIS = 250;

    private final long startMillis;

    private final RandomGenerator random;

    private State state = State.NORMAL;

    /** The smoothed delay; negative before the first sample. */
    private double smoothedMillis = -1;

    private long lastMillis;

    /** The last two samples, the later one first. */
    private long previousDelay;

    private long earlierDelay;

    /** The lowest target latency of the routes; 0 while unknown. */
    private long lowestTargetMillis;

    /** The time since which the delay has exceeded the limit for an overloaded host; negative while it does not. */
    private long exceededSinceMillis = -1;

    /** The last time at which the delay was above the limit for shedding. */
    private long lastShedMillis;

    /**
     * @param startMillis The monotonic time at which the host started to accept requests, in milliseconds.
     * @param random Selects the requests to shed.
     */
    public HostLoad(long startMillis, RandomGenerator random) {
        this.startMillis = startMillis;
        this.random = random;
    }

    /**
     * Sets the lowest target latency of the routes, by which the state is determined.
     *
     * @param targetMillis The target latency in milliseconds; 0 if there is no route.
     */
    public void setLowestTarget(long targetMillis) {
        lowestTargetMillis = targetMillis;
    }

    /**
     * Records how late a timer of the event loop fired. The median of three samples enters the average, so that the
     * single late sample after a freeze does not.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param delayMillis The lateness of the timer in milliseconds.
     */
    public void record(long nowMillis, long delayMillis) {
        if (nowMillis - startMillis < START_MILLIS) {
            return;
        }
        if (smoothedMillis < 0) {
            smoothedMillis = 0;
        } else {
            long gapMillis = Math.min(MAXIMUM_GAP_MILLIS, nowMillis - lastMillis);
            double change = median(delayMillis, previousDelay, earlierDelay) - smoothedMillis;
            boolean recovering = state == State.OVERLOADED && change < 0;
            double constantMillis = recovering ? RECOVERY_CONSTANT_MILLIS : CONSTANT_MILLIS;
            smoothedMillis += change * (1 - Math.exp(-gapMillis / constantMillis));
        }
        earlierDelay = previousDelay;
        previousDelay = delayMillis;
        lastMillis = nowMillis;
        updateState(nowMillis);
    }

    /** Returns the smoothed delay in milliseconds, or empty while the host has just started. */
    public OptionalInt delayMillis() {
        return smoothedMillis < 0 ? OptionalInt.empty() : OptionalInt.of((int) Math.round(smoothedMillis));
    }

    public State state() {
        return state;
    }

    /**
     * Returns the share of the new requests with a target latency to shed, from 0 to {@link #MAXIMUM_SHARE}. It grows
     * with the delay, so that it settles where the host keeps up.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param targetMillis The target latency in milliseconds; 0 if there is none.
     */
    public double share(long nowMillis, long targetMillis, OtherHosts others) {
        double limitMillis = targetMillis * SHED_FRACTION;
        if (state != State.OVERLOADED || targetMillis <= 0 || smoothedMillis <= limitMillis) {
            return 0;
        }
        double better = others.shareBelow(nowMillis, limitMillis);
        if (better < MINIMUM_BETTER_SHARE) {
            return 0;
        }
        double excess = (smoothedMillis / targetMillis - SHED_FRACTION) / (MAXIMUM_FRACTION - SHED_FRACTION);
        return MAXIMUM_SHARE * better * Math.min(1, excess);
    }

    /**
     * Decides whether a new request is shed.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param targetMillis The target latency of the request in milliseconds; 0 if there is none.
     */
    public boolean mustShed(long nowMillis, long targetMillis, OtherHosts others) {
        double share = share(nowMillis, targetMillis, others);
        return share > 0 && random.nextDouble() < share;
    }

    private void updateState(long nowMillis) {
        if (lowestTargetMillis <= 0) {
            state = State.NORMAL;
            exceededSinceMillis = -1;
            return;
        }
        double fraction = smoothedMillis / lowestTargetMillis;
        if (fraction <= OVERLOADED_FRACTION) {
            exceededSinceMillis = -1;
        } else if (exceededSinceMillis < 0) {
            exceededSinceMillis = nowMillis;
        }
        boolean sustained = exceededSinceMillis >= 0 && nowMillis - exceededSinceMillis >= SUSTAINED_MILLIS;
        if (fraction >= SHED_FRACTION) {
            lastShedMillis = nowMillis;
        }
        boolean recovered = nowMillis - lastShedMillis >= RECOVERY_MILLIS;
        state = switch (state) {
            case OVERLOADED -> recovered ? State.BUSY : State.OVERLOADED;
            case BUSY -> sustained ? State.OVERLOADED : fraction < NORMAL_FRACTION ? State.NORMAL : State.BUSY;
            case NORMAL -> sustained ? State.OVERLOADED : fraction > SHED_FRACTION ? State.BUSY : State.NORMAL;
        };
    }

    private static long median(long first, long second, long third) {
        return Math.max(Math.min(first, second), Math.min(Math.max(first, second), third));
    }

    /** The load of a host, by its delay as a fraction of the lowest target latency. */
    public enum State {
        /** The delay is insignificant. */
        NORMAL,
        /** The delay is noticeable, or has not lasted long enough to count as overload. */
        BUSY,
        /** The delay has taken a large part of the target latency for some time. */
        OVERLOADED
    }
}
