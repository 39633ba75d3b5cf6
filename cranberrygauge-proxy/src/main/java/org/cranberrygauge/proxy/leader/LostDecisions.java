package org.cranberrygauge.proxy.leader;

/**
 * Tells which usage windows may have been reported with figures that the shared log has lost by coming back from an older
 * copy.
 *
 * <p>A process that has seen the log come back knows when that was. One that has not knows only that it was before its
 * first read, unless the log holds figures that were stored since, in the era that it is in now. That the log holds none
 * shows nothing: it may have come back from a copy that is older than the first ones. Not thread-safe.
 */
public final class LostDecisions {

    private final long windowMillis;

    /** The time after the end of a window at which its figures are decided, in milliseconds. */
    private final long settlingMillis;

    /** The wall-clock time up to which a lost record may have decided windows, in milliseconds since the epoch. */
    private long lostBeforeMillis = Long.MIN_VALUE;

    /** Whether it is known when the log last came back, or that it never did. */
    private boolean known;

    /** The newest window whose figures were stored in the current era. */
    private long newestOfEra = Long.MIN_VALUE;

    /**
     * @param windowMillis The length of a window in milliseconds.
     * @param settlingMillis The time after the end of a window at which its figures are decided, in milliseconds.
     */
    public LostDecisions(long windowMillis, long settlingMillis) {
        this.windowMillis = windowMillis;
        this.settlingMillis = settlingMillis;
    }

    /** Tells whether all figures in the log have been read, or it was seen to come back. */
    public boolean isKnown() {
        return known;
    }

    /**
     * Records that the log has come back.
     *
     * @param wallMillis The time in milliseconds since the epoch.
     */
    public void recordRollback(long wallMillis) {
        known = true;
        lostBeforeMillis = wallMillis;
        newestOfEra = Long.MIN_VALUE;
    }

    /** Records that the log holds figures that were stored in the current era. */
    public void recordStored(long window) {
        newestOfEra = Math.max(newestOfEra, window);
    }

    /**
     * Records that all figures in the log have been read. Without figures of the current era, all windows that have ended
     * by then may have been reported, also by a host whose clock was ahead of this one's by less than the settling time.
     *
     * @param wallMillis The time in milliseconds since the epoch at which the read ended.
     */
    public void recordRead(long wallMillis) {
        if (known) {
            return;
        }
        known = true;
        lostBeforeMillis = newestOfEra == Long.MIN_VALUE ? wallMillis + settlingMillis : dueMillis(newestOfEra);
    }

    /** Tells whether a window may have been reported though the log holds no figures of it. */
    public boolean mayHaveBeenReported(long window) {
        return dueMillis(window) <= lostBeforeMillis;
    }

    private long dueMillis(long window) {
        return (window + 1) * windowMillis + settlingMillis;
    }
}
