package org.cranberrygauge.decision.admission;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.random.RandomGenerator;

/**
 * Assigns the times at which rejected callers of a pool return, so that each finds room.
 *
 * <p>A caller returns after the requests that wait and the callers that were promised room before it. A promise ends
 * when it is due, since the caller has then returned or gone elsewhere. Invariant: the number of promises is
 * limited. Not thread-safe.
 */
public final class ReturnSchedule {

    /** The minimum time until a return in milliseconds. */
    static final long MINIMUM_MILLIS = 50;

    /** The fraction of a caller's remaining time up to which it waits. */
    private static final double MAXIMUM_FRACTION = 1.0 / 3;

    /** The random part as a fraction of the time until the return. */
    private static final double RANDOM_FRACTION = 0.2;

    /** The maximum number of promises that are kept. */
    private static final int MAXIMUM_PROMISES = 10_000;

    private final DrainForecast forecast;

    private final RandomGenerator random;

    /** The earliest due first. */
    private final Queue<Promise> promises = new PriorityQueue<>(Comparator.comparingLong(Promise::dueMillis));

    private long promisedCost;

    /** @param random Spreads the returns. */
    public ReturnSchedule(DrainForecast forecast, RandomGenerator random) {
        this.forecast = forecast;
        this.random = random;
    }

    /**
     * Assigns the time until a rejected caller returns, and promises it room.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param waiting The number of requests that wait.
     * @param waitingCost The cost of the requests that wait.
     * @param cost The cost of the rejected request.
     * @param remainingMillis The time that the caller has left, in milliseconds.
     * @return The time until the return in milliseconds; empty without observations.
     */
    public OptionalLong assign(long nowMillis, int waiting, double waitingCost, long cost, long remainingMillis) {
        removeDue(nowMillis);
        OptionalLong predicted = forecast.waitMillis(nowMillis, waiting + promises.size(), waitingCost + promisedCost);
        if (predicted.isEmpty()) {
            return predicted;
        }
        double spread = 1 - RANDOM_FRACTION * random.nextDouble();
        double longestMillis = remainingMillis * MAXIMUM_FRACTION * spread;
        long millis = Math.round(Math.min(predicted.getAsLong() / spread, longestMillis));
        long returnMillis = Math.max(MINIMUM_MILLIS, millis);
        if (promises.size() < MAXIMUM_PROMISES) {
            promises.add(new Promise(nowMillis + returnMillis, cost));
            promisedCost += cost;
        }
        return OptionalLong.of(returnMillis);
    }

    /** Returns the number of callers that were promised room and are not due yet. */
    public int promised(long nowMillis) {
        removeDue(nowMillis);
        return promises.size();
    }

    private void removeDue(long nowMillis) {
        while (!promises.isEmpty() && promises.peek().dueMillis() <= nowMillis) {
            promisedCost -= promises.remove().cost();
        }
    }

    /** The room promised to one caller. */
    private record Promise(long dueMillis, long cost) {}
}
