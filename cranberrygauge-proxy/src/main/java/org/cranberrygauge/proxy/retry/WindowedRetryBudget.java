package org.cranberrygauge.proxy.retry;

/**
 * One host's part of the budget of repeats that all hosts share for a pool.
 *
 * <p>The whole budget allows, in any window, a share of the requests of that window and a fixed number besides. A host takes
 * the share of its own requests and an equal part of the fixed number. Times are counted in slots of a window, and a window
 * is rounded up by one slot, so that no sliding window exceeds the bound. Used by one thread.
 */
public final class WindowedRetryBudget {

    /** The slots that a window is cut into. */
    private static final int SLOTS = 10;

    /** The part of the budget that is used, which leaves room for hosts that are not known yet. */
    private static final double USED_PART = 0.8;

    /** The slots that are remembered. */
    private static final int REMEMBERED = SLOTS + 1;

    /** The length of a slot in milliseconds. */
    private final long slotMillis;

    /** The repeats allowed for each request. */
    private final double ratio;

    /** The repeats allowed besides, for all hosts together. */
    private final double extra;

    /** The requests by slot. */
    private final long[] requests = new long[REMEMBERED];

    /** The repeats by slot. */
    private final long[] repeats = new long[REMEMBERED];

    /** The number of the newest slot. */
    private long newest;

    /**
     * Creates a budget.
     *
     * @param windowMillis The length of the window in milliseconds.
     * @param ratio The repeats allowed for each request.
     * @param extra The repeats allowed besides, for all hosts together.
     */
    public WindowedRetryBudget(long windowMillis, double ratio, double extra) {
        this.slotMillis = windowMillis / SLOTS;
        this.ratio = ratio;
        this.extra = extra;
    }

    /**
     * Notes a request of a caller.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public void noteRequest(long nowMillis) {
        requests[advance(nowMillis)]++;
    }

    /**
     * Takes one repeat if the budget allows it.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param hosts The number of hosts that share the budget.
     * @return Whether the repeat is allowed.
     */
    public boolean tryTake(long nowMillis, int hosts) {
        int slot = advance(nowMillis);
        double allowed = USED_PART * (ratio * total(requests) + extra / Math.max(1, hosts));
        if (total(repeats) + 1 > allowed) {
            return false;
        }
        repeats[slot]++;
        return true;
    }

    /**
     * Clears the slots that have passed.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The index of the present slot.
     */
    private int advance(long nowMillis) {
        long number = Math.floorDiv(nowMillis, slotMillis);
        long first = Math.max(newest + 1, number - REMEMBERED + 1);
        for (long passed = first; passed <= number; passed++) {
            int index = (int) Math.floorMod(passed, (long) REMEMBERED);
            requests[index] = 0;
            repeats[index] = 0;
        }
        newest = Math.max(newest, number);
        return (int) Math.floorMod(newest, (long) REMEMBERED);
    }

    /**
     * Adds up slots.
     *
     * @param slots The slots.
     * @return The sum.
     */
    private static long total(long[] slots) {
        long sum = 0;
        for (long count : slots) {
            sum += count;
        }
        return sum;
    }
}
