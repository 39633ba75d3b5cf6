package org.cranberrygauge.proxy.exchange;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.proxy.retry.WindowedRetryBudget;

/** The retry budgets by pool. Not thread-safe. */
public final class PoolRetryBudgets {

    private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();

    private final long startMillis;

    private final long windowMillis;

    private final double ratio;

    private final double allowance;

    /**
     * Creates budgets with the same parameters for all pools.
     *
     * @param startMillis The monotonic time at which this process started, in milliseconds.
     * @param windowMillis The length of the window in milliseconds.
     * @param ratio The retries allowed for each request.
     * @param allowance The retries allowed in addition in each window, for all hosts together.
     */
    public PoolRetryBudgets(long startMillis, long windowMillis, double ratio, double allowance) {
        this.startMillis = startMillis;
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.allowance = allowance;
    }

    WindowedRetryBudget of(String pool) {
        return budgets.computeIfAbsent(
                pool, name -> new WindowedRetryBudget(startMillis, windowMillis, ratio, allowance));
    }
}
