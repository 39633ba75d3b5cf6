package org.cranberrygauge.proxy.store;

import java.util.OptionalLong;

/**
 * Tells since when the shared log has answered without an outage, as far as one host has read it by itself or through
 * others.
 *
 * <p>An outage is a time without an answer that is long enough for entries of running servers to expire. A host that was cut
 * off, rejected or slow has such a time of its own, so that only what other hosts report tells whether the log was away
 * for all. Not thread-safe.
 */
public final class LogAvailability {

    private final long outageMillis;

    private boolean known;

    /** The monotonic time of the last answer. */
    private long lastMillis;

    /** The monotonic time of the first answer after the last outage, or of the first one. */
    private long sinceMillis;

    private OptionalLong outageEndMillis = OptionalLong.empty();

    /** @param outageMillis The shortest time without an answer that counts as an outage, in milliseconds. */
    public LogAvailability(long outageMillis) {
        this.outageMillis = outageMillis;
    }

    /**
     * Records that the log has answered.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param answeredMillis The monotonic time at which the log answered; earlier if another host has read it.
     * @return The length of the outage that it ends, in milliseconds.
     */
    public OptionalLong recordAnswer(long nowMillis, long answeredMillis) {
        long gapMillis = answeredMillis - lastMillis;
        boolean outage = known && gapMillis >= outageMillis;
        if (outage) {
            outageEndMillis = OptionalLong.of(nowMillis);
        }
        if (outage || !known) {
            sinceMillis = nowMillis;
        }
        lastMillis = known ? Math.max(lastMillis, answeredMillis) : answeredMillis;
        known = true;
        return outage ? OptionalLong.of(gapMillis) : OptionalLong.empty();
    }

    /**
     * Records that the log has come back from an older copy.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordRollback(long nowMillis) {
        outageEndMillis = OptionalLong.of(nowMillis);
        sinceMillis = nowMillis;
    }

    /** Returns the monotonic time at which the last outage ended for this host, in milliseconds; empty if there was none. */
    public OptionalLong outageEndMillis() {
        return outageEndMillis;
    }

    /**
     * Returns the time since which the log has answered without an outage, in milliseconds; empty while it may be away.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public OptionalLong availableMillis(long nowMillis) {
        return known && nowMillis - lastMillis < outageMillis
                ? OptionalLong.of(nowMillis - sinceMillis)
                : OptionalLong.empty();
    }
}
