package org.cranberrygauge.proxy.retry;

/**
 * This host's part of a retry budget that all hosts share for a pool.
 *
 * <p>The shared budget allows, in any window, a ratio of the requests of that window plus a fixed allowance. A host earns
 * retries with its own requests and, over time, with an equal part of the allowance, and may spend them for a window. What
 * it spends in a window was earned in that window or in the one before, and so is bounded by the budget, also if the
 * process is new and does not know what its predecessors on the host have spent in that window: a new process has earned
 * nothing yet. Not thread-safe.
 */
public final class WindowedRetryBudget {

    private static final int SLOTS_PER_WINDOW = 10;

    /** The fraction of the budget that is earned: less than a half, since two windows of earnings are spent in one. */
    private static final double EARNED_FRACTION = 0.45;

    /** The retries that are earned in each slot for a host that shares the allowance with none. */
    private final double allowancePerSlot;

    /** The retries that are earned with each request. */
    private final double earnedPerRequest;

    private final long slotMillis;

    /** The retries that were earned in recent slots and not spent. */
    private final double[] unspent = new double[SLOTS_PER_WINDOW];

    private long newestSlot;

    /**
     * @param startMillis The monotonic time at which this process started, in milliseconds.
     * @param windowMillis The length of the window in milliseconds.
     * @param ratio The retries allowed for each request.
     * @param allowance The retries allowed in addition in each window, for all hosts together.
     */
    public WindowedRetryBudget(long startMillis, long windowMillis, double ratio, double allowance) {
        this.slotMillis = windowMillis / SLOTS_PER_WINDOW;
        this.earnedPerRequest = EARNED_FRACTION * ratio;
        this.allowancePerSlot = EARNED_FRACTION * allowance / SLOTS_PER_WINDOW;
        this.newestSlot = Math.floorDiv(startMillis, slotMillis);
    }

    /**
     * Records a request of a caller.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param hosts The number of hosts that share the budget; 0 if it is not known.
     */
    public void recordRequest(long nowMillis, int hosts) {
        advance(nowMillis, hosts);
        unspent[index(newestSlot)] += earnedPerRequest;
    }

    /**
     * Takes one retry from the budget if it allows one.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param hosts The number of hosts that share the budget; 0 if it is not known.
     */
    public boolean tryAcquire(long nowMillis, int hosts) {
        advance(nowMillis, hosts);
        double earned = 0;
        for (double left : unspent) {
            earned += left;
        }
        if (earned < 1) {
            return false;
        }
        spendOldest();
        return true;
    }

    /** Takes one retry from what was earned first and would expire first. */
    private void spendOldest() {
        double due = 1;
        for (long slot = newestSlot - SLOTS_PER_WINDOW + 1; slot <= newestSlot && due > 0; slot++) {
            double spent = Math.min(due, unspent[index(slot)]);
            unspent[index(slot)] -= spent;
            due -= spent;
        }
    }

    /** Drops what has expired, and earns the part of the allowance of the slots that have begun; none without a count. */
    private void advance(long nowMillis, int hosts) {
        long current = Math.floorDiv(nowMillis, slotMillis);
        double earned = hosts == 0 ? 0 : allowancePerSlot / hosts;
        for (long slot = Math.max(newestSlot + 1, current - SLOTS_PER_WINDOW + 1); slot <= current; slot++) {
            unspent[index(slot)] = earned;
        }
        newestSlot = Math.max(newestSlot, current);
    }

    private static int index(long slot) {
        return (int) Math.floorMod(slot, (long) SLOTS_PER_WINDOW);
    }
}
