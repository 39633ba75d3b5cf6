package org.cranberrygauge.proxy.control;

import org.cranberrygauge.runtime.event.EventLog;

/**
 * Notes when a dependency is lost and regained, with one event for each change.
 *
 * <p>Used by one thread.
 */
final class DependencyMonitor {

    /** The name of the dependency. */
    private final String name;

    /** The event log. */
    private final EventLog events;

    /** Whether the dependency is lost. */
    private boolean lost;

    /** The monotonic time at which it was lost. */
    private long lostMillis;

    /**
     * Creates a watch.
     *
     * @param name The name of the dependency.
     * @param events The event log.
     */
    DependencyMonitor(String name, EventLog events) {
        this.name = name;
        this.events = events;
    }

    /**
     * Notes a success.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    void reached(long nowMillis) {
        if (lost) {
            lost = false;
            events.emit(new ControlEvents.DependencyRegained(name, nowMillis - lostMillis));
        }
    }

    /**
     * Notes a failure.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param detail What happened.
     */
    void failed(long nowMillis, String detail) {
        if (!lost) {
            lost = true;
            lostMillis = nowMillis;
            events.emit(new ControlEvents.DependencyLost(name, detail));
        }
    }
}
