package org.cranberrygauge.proxy.exchange;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.proxy.retry.WindowedRetryBudget;

/**
 * The budgets of repeats by pool.
 *
 * <p>Used by one thread.
 */
public final class PoolRetryBudgets {

    /** The budgets by name of the pool. */
    private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();

    /** The length of the window in milliseconds. */
    private final long windowMillis;

    /** The repeats allowed for each request. */
    private final double ratio;

    /** The repeats allowed besides, for all hosts together. */
    private final double extra;

    /**
     * Creates budgets.
     *
     * @param windowMillis The length of the window in milliseconds.
     * @param ratio The repeats allowed for each request.
     * @param extra The repeats allowed besides, for all hosts together.
     */
    public PoolRetryBudgets(long windowMillis, double ratio, double extra) {
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.extra = extra;
    }

    /**
     * Returns the budget of a pool.
     *
     * @param pool The name of the pool.
     * @return The budget.
     */
    WindowedRetryBudget of(String pool) {
        return budgets.computeIfAbsent(pool, name -> new WindowedRetryBudget(windowMillis, ratio, extra));
    }
}
