package org.cranberrygauge.proxy.leader;

import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Clocks whose time of day ignores short jumps of the system's clock.
 *
 * <p>A jump counts once it has lasted, so that windows of usage are cut alike on all hosts. Safe for use by several threads.
 */
public final class JumpTolerantTimeSource implements TimeSource {

    /** The difference from which a change is a jump, in milliseconds. */
    private static final long JUMP_MILLIS = 250;

    /** The time after which a jump counts, in milliseconds. */
    private static final long ACCEPTED_AFTER_MILLIS = 12_000;

    /** The clocks of the system. */
    private final TimeSource system;

    /** The time of day less the monotonic time that counts. */
    private long offsetMillis;

    /** The monotonic time at which the present jump was first seen, or -1 if there is none. */
    private long jumpedMillis = -1;

    /**
     * Creates clocks.
     *
     * @param system The clocks of the system.
     */
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
        if (Math.abs(offset - offsetMillis) < JUMP_MILLIS) {
            offsetMillis = offset;
            jumpedMillis = -1;
        } else if (jumpedMillis < 0) {
            jumpedMillis = now;
        } else if (now - jumpedMillis >= ACCEPTED_AFTER_MILLIS) {
            offsetMillis = offset;
            jumpedMillis = -1;
        }
        return now + offsetMillis;
    }
}
