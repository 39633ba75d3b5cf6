package org.cranberrygauge.proxy.leader;

import org.cranberrygauge.runtime.time.TimeSource;

/**
 * A time source whose wall clock ignores short jumps of the system clock.
 *
 * <p>A jump is adopted once it has persisted, so that all hosts assign requests to the same usage windows. Thread-safe.
 */
public final class JumpTolerantTimeSource implements TimeSource {

    /** The change of the clock difference from which it counts as a jump. */
    private static final long JUMP_THRESHOLD_MILLIS = 250;

    /** The time after which a jump that persists is adopted. */
    private static final long ACCEPTANCE_DELAY_MILLIS = 12_000;

    private final TimeSource system;

    /** The adopted difference between wall-clock and monotonic time. */
    private long offsetMillis;

    /** The monotonic time at which the current jump was first seen; -1 if there is none. */
    private long jumpSeenMillis = -1;

    public JumpTolerantTimeSource(TimeSource system) {
        this.system = system;
        this.offsetMillis = system.wallMillis() - system.monotonicMillis();
    }

    @Override
    public long monotonicMillis() {
        return system.monotonicMillis();
    }

    @Override
    public synchronized long wallMillis() {
        long now = system.monotonicMillis();
        long offset = system.wallMillis() - now;
        if (Math.abs(offset - offsetMillis) < JUMP_THRESHOLD_MILLIS) {
            offsetMillis = offset;
            jumpSeenMillis = -1;
        } else if (jumpSeenMillis < 0) {
            jumpSeenMillis = now;
        } else if (now - jumpSeenMillis >= ACCEPTANCE_DELAY_MILLIS) {
            offsetMillis = offset;
            jumpSeenMillis = -1;
        }
        return now + offsetMillis;
    }
}
