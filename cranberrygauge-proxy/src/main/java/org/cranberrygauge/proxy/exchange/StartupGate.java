package org.cranberrygauge.proxy.exchange;

/**
 * Decides whether a request waits since the process has just started and knows no configuration or no backend servers yet.
 *
 * <p>After a full stop the callers come at once, a little before the first reads of the shared log end. Stateless and safe for
 * use by several threads.
 */
final class StartupGate {

    /** The longest time that a request waits, in milliseconds. */
    private static final long HOLD_MILLIS = 400;

    /**
     * Decides whether a request waits.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param arrivedMillis The monotonic time at which the request arrived, in milliseconds.
     * @param state What the host believes.
     * @return Whether it waits.
     */
    boolean holds(long nowMillis, long arrivedMillis, ProxyState state) {
        if (state.draining() || nowMillis - arrivedMillis >= HOLD_MILLIS) {
            return false;
        }
        return state.configuration().configuration().isEmpty()
                || !state.backends().known();
    }
}
