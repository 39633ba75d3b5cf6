package org.cranberrygauge.runtime.lifecycle;

import org.cranberrygauge.runtime.event.Event;

/** The events of a process as a whole. */
public final class LifecycleEvents {

    /** Prevents instances. */
    private LifecycleEvents() {}

    /**
     * A failure that no caller waits for, such as a connection that the other side reset.
     *
     * @param type The type of the failure.
     * @param message The message.
     */
    public record UnhandledFailure(String type, String message) implements Event {}
}
