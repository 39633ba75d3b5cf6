package org.cranberrygauge.proxy.control;

import org.cranberrygauge.runtime.event.EventLog;

/** Emits one event when a dependency becomes unavailable and one when it is available again. Not thread-safe. */
final class DependencyMonitor {

    private final String name;

    private final EventLog events;

    private boolean lost;

    private long lostSinceMillis;

    DependencyMonitor(String name, EventLog events) {
        this.name = name;
        this.events = events;
    }

    /**
     * Records a successful call.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    void recordSuccess(long nowMillis) {
        if (lost) {
            lost = false;
            events.emit(new ControlEvents.DependencyRegained(name, nowMillis - lostSinceMillis));
        }
    }

    /**
     * Records a failed call.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param detail The error message.
     */
    void recordFailure(long nowMillis, String detail) {
        if (!lost) {
            lost = true;
            lostSinceMillis = nowMillis;
            events.emit(new ControlEvents.DependencyLost(name, detail));
        }
    }
}
