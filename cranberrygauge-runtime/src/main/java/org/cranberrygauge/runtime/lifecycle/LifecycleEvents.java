package org.cranberrygauge.runtime.lifecycle;

import org.cranberrygauge.runtime.event.Event;

/** The events of a process as a whole. */
public final class LifecycleEvents {

    private LifecycleEvents() {}

    /**
     * A failure that no caller handles, for example because the other side reset a connection.
     *
     * @param type The simple class name of the exception.
     * @param message The message of the exception.
     */
    public record UnhandledFailure(String type, String message) implements Event {}
}
