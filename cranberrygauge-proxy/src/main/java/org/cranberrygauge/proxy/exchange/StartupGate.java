package org.cranberrygauge.proxy.exchange;

/**
 * Decides whether a request has to wait because the process has just started and knows no configuration or no backend
 * servers yet.
 *
 * <p>After a stop of all hosts, callers reconnect at once, shortly before the first reads of the shared log complete.
 * Stateless and thread-safe.
 */
final class StartupGate {

    private static final long MAXIMUM_WAIT_MILLIS = 400;

    /**
     * Decides whether a request has to wait.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param arrivedMillis The monotonic time at which the request arrived, in milliseconds.
     */
    boolean mustWait(long nowMillis, long arrivedMillis, ProxyBlackboard blackboard) {
        if (blackboard.draining() || nowMillis - arrivedMillis >= MAXIMUM_WAIT_MILLIS) {
            return false;
        }
        return blackboard.configuration().configuration().isEmpty()
                || !blackboard.backends().known();
    }
}
