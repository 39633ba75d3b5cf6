package org.cranberrygauge.proxy.retry;

/**
 * What a host knows of its part of the retry budgets. Immutable.
 *
 * @param hosts The number of hosts that share the budgets, including this one; 0 while it is not known.
 * @param firstProcess Whether it is known that no process ran on this host before, which may have spent retries lately.
 */
public record BudgetShare(int hosts, boolean firstProcess) {

    /** The share of a host that knows nothing yet. */
    public static final BudgetShare UNKNOWN = new BudgetShare(0, false);

    /** Returns the part of an allowance for all hosts that falls to one; 0 while their number is not known. */
    double of(double allowance) {
        return hosts == 0 ? 0 : allowance / hosts;
    }
}
