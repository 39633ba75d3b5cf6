package org.cranberrygauge.decision.fleet;

/**
 * Forecasts a rate from its level and trend by double exponential smoothing.
 *
 * <p>Invariants: the forecast is never negative and at most twice the level; a falling trend is not extrapolated. Not
 * thread-safe; confined to one thread.
 */
final class DemandForecast {

    /** The time constant of the level in milliseconds. */
    private static final double LEVEL_MILLIS = 15_000;

    /** The time constant of the trend in milliseconds. */
    private static final double TREND_MILLIS = 60_000;

    /** The highest forecast as a multiple of the level. */
    private static final double MAXIMUM_GROWTH = 2;

    private double level;

    /** The trend in units of the level per millisecond. */
    private double trend;

    /** The monotonic time of the last observation in milliseconds, or -1 for none. */
    private long observedAtMillis = -1;

    /**
     * Adds an observation.
     *
     * @param value The observed rate.
     */
    void observe(long nowMillis, double value) {
        if (observedAtMillis < 0) {
            level = value;
            observedAtMillis = nowMillis;
            return;
        }
        double elapsed = nowMillis - observedAtMillis;
        if (elapsed <= 0) {
            return;
        }
        double expected = level + trend * elapsed;
        double next = Math.max(0, expected + (1 - Math.exp(-elapsed / LEVEL_MILLIS)) * (value - expected));
        trend += (1 - Math.exp(-elapsed / TREND_MILLIS)) * ((next - level) / elapsed - trend);
        level = next;
        observedAtMillis = nowMillis;
    }

    /**
     * Forecasts the rate.
     *
     * @param leadMillis The time from now in milliseconds.
     * @return The expected rate.
     */
    double forecast(long leadMillis) {
        double extrapolated = level + Math.max(0, trend) * leadMillis;
        return Math.min(extrapolated, level * MAXIMUM_GROWTH);
    }
}
