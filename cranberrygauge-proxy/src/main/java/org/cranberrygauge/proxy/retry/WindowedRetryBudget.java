package org.cranberrygauge.proxy.retry;

/**
 * This host's part of a retry budget that all hosts share for a pool.
 *
 * <p>The shared budget allows, in any window, a ratio of the requests of that window plus a fixed allowance. A host may
 * use the ratio of its own requests and an equal part of the allowance. Time is divided into slots, and a window is
 * rounded up by one slot, so that no sliding window exceeds the bound. A new process does not know what the one before it on
 * this host has spent in the same window, and presumes all that it may have; it uses a part of what is reserved, unless it is
 * the first one. Not thread-safe.
 */
public final class WindowedRetryBudget {

    private static final int SLOTS_PER_WINDOW = 10;

    /** The fraction of the budget that is used; the rest is reserved for new processes and for hosts not known yet. */
    private static final double USABLE_FRACTION = 0.8;

    /** The fraction of the budget that a process uses until it is older than a window. */
    private static final double NEW_PROCESS_FRACTION = 0.1;

    /** One more than in a window, since a window that starts within a slot touches one more. */
    private static final int RETAINED_SLOTS = SLOTS_PER_WINDOW + 1;

    private final long slotMillis;

    /** The retries allowed for each request. */
    private final double ratio;

    /** The retries allowed in addition, for all hosts together. */
    private final double allowance;

    private final long[] requests = new long[RETAINED_SLOTS];

    private final long[] retries = new long[RETAINED_SLOTS];

    /** The slot in which the process started. */
    private final long firstSlot;

    private long newestSlot;

    /**
     * @param startMillis The monotonic time at which this process started, in milliseconds.
     * @param windowMillis The length of the window in milliseconds.
     * @param ratio The retries allowed for each request.
     * @param allowance The retries allowed in addition in each window, for all hosts together.
     */
    public WindowedRetryBudget(long startMillis, long windowMillis, double ratio, double allowance) {
        this.slotMillis = windowMillis / SLOTS_PER_WINDOW;
        this.ratio = ratio;
        this.allowance = allowance;
        this.firstSlot = Math.floorDiv(startMillis, slotMillis);
        this.newestSlot = firstSlot;
    }

    /**
     * Records a request of a caller.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordRequest(long nowMillis) {
        requests[advance(nowMillis)]++;
    }

    /**
     * Takes one retry from the budget if it allows one.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param share What this host knows of its part.
     */
    public boolean tryAcquire(long nowMillis, BudgetShare share) {
        int slot = advance(nowMillis);
        if (total(retries) + 1 > allowed(share)) {
            return false;
        }
        retries[slot]++;
        return true;
    }

    /** Returns the retries that are allowed in the retained slots; the allowance of a new process grows with its age. */
    private double allowed(BudgetShare share) {
        long age = newestSlot - firstSlot;
        double earned = ratio * total(requests);
        double ownAllowance = share.of(allowance);
        return share.firstProcess() || age >= RETAINED_SLOTS
                ? USABLE_FRACTION * (earned + ownAllowance)
                : NEW_PROCESS_FRACTION * (earned + ownAllowance * age / SLOTS_PER_WINDOW);
    }

    /** Clears the slots that have expired and returns the index of the current slot. */
    private int advance(long nowMillis) {
        long current = Math.floorDiv(nowMillis, slotMillis);
        long firstExpired = Math.max(newestSlot + 1, current - RETAINED_SLOTS + 1);
        for (long expired = firstExpired; expired <= current; expired++) {
            int index = (int) Math.floorMod(expired, (long) RETAINED_SLOTS);
            requests[index] = 0;
            retries[index] = 0;
        }
        newestSlot = Math.max(newestSlot, current);
        return (int) Math.floorMod(newestSlot, (long) RETAINED_SLOTS);
    }

    private static long total(long[] slots) {
        long sum = 0;
        for (long count : slots) {
            sum += count;
        }
        return sum;
    }
}
