package org.cranberrygauge.proxy.store;

import java.util.OptionalLong;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The time at which a read was sent that showed what is known to be the newest, by two clocks.
 *
 * <p>The monotonic clock stands still while a host is suspended; a time of day that ran ahead of it tells so, and then the age
 * is unknown.
 *
 * @param monotonicMillis The monotonic time in milliseconds.
 * @param wallMillis The time of day in milliseconds of the epoch.
 */
public record Confirmation(long monotonicMillis, long wallMillis) {

    /** The difference between the clocks above which the host may have been suspended, in milliseconds. */
    private static final long CLOCK_TOLERANCE_MILLIS = 300;

    /** The confirmation of what was never read. */
    public static final Confirmation NONE = new Confirmation(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

    /**
     * Returns the confirmation of a read that is sent now.
     *
     * @param time The clocks.
     * @return The confirmation.
     */
    public static Confirmation now(TimeSource time) {
        return new Confirmation(time.monotonicMillis(), time.wallMillis());
    }

    /**
     * Tells how long ago the read was sent.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param nowWallMillis The present time of day in milliseconds of the epoch.
     * @return The age in milliseconds, or empty if the host may have been suspended since.
     */
    public OptionalLong ageMillis(long nowMillis, long nowWallMillis) {
        long age = nowMillis - monotonicMillis;
        long wallAge = nowWallMillis - wallMillis;
        return wallAge - age < CLOCK_TOLERANCE_MILLIS ? OptionalLong.of(age) : OptionalLong.empty();
    }

    /**
     * Returns the confirmation of a read that another host had sent before it was asked at this time.
     *
     * @param ageMillis The age of the read when the other host answered, in milliseconds.
     * @return The confirmation.
     */
    public Confirmation before(long ageMillis) {
        return new Confirmation(monotonicMillis - ageMillis, wallMillis - ageMillis);
    }

    /**
     * Returns the later of two confirmations.
     *
     * @param other The other confirmation.
     * @return The later one.
     */
    public Confirmation later(Confirmation other) {
        return other.monotonicMillis > monotonicMillis ? other : this;
    }
}
