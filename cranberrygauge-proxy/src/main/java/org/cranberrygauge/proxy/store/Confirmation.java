package org.cranberrygauge.proxy.store;

import java.util.OptionalLong;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The time, by two clocks, at which a read was sent that confirmed some state as the newest.
 *
 * <p>The monotonic clock stops while a host is suspended. A wall clock that ran ahead of it reveals that, and the age
 * is then unknown.
 *
 * @param monotonicMillis The monotonic time in milliseconds.
 * @param wallMillis The wall-clock time in milliseconds since the epoch.
 */
public record Confirmation(long monotonicMillis, long wallMillis) {

    /** The difference between the clocks from which the host may have been suspended. */
    private static final long CLOCK_TOLERANCE_MILLIS = 300;

    /** Stands for state that was never read. */
    public static final Confirmation NONE = new Confirmation(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

    /** Returns the confirmation for a read that is sent now. */
    public static Confirmation now(TimeSource time) {
        return new Confirmation(time.monotonicMillis(), time.wallMillis());
    }

    /**
     * Returns the time since the read was sent in milliseconds, or empty if the host may have been suspended since.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param nowWallMillis The current wall-clock time in milliseconds since the epoch.
     */
    public OptionalLong ageMillis(long nowMillis, long nowWallMillis) {
        long age = nowMillis - monotonicMillis;
        long wallAge = nowWallMillis - wallMillis;
        return wallAge - age < CLOCK_TOLERANCE_MILLIS ? OptionalLong.of(age) : OptionalLong.empty();
    }

    /**
     * Returns the confirmation for a read that another host had sent before it was queried at this time.
     *
     * @param ageMillis The age of that read when the other host responded, in milliseconds.
     */
    public Confirmation before(long ageMillis) {
        return new Confirmation(monotonicMillis - ageMillis, wallMillis - ageMillis);
    }

    /** Returns the later of two confirmations. */
    public Confirmation later(Confirmation other) {
        return other.monotonicMillis > monotonicMillis ? other : this;
    }
}
