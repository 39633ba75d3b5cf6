package org.cranberrygauge.emulator;

import org.cranberrygauge.runtime.event.Event;

/** The events of the stand-ins. */
public final class EmulatorEvents {

    /** Prevents instances. */
    private EmulatorEvents() {}

    /**
     * A stand-in listens.
     *
     * @param kind The kind of stand-in.
     * @param port The port.
     */
    public record Listening(String kind, int port) implements Event {}

    /**
     * A stand-in could not start.
     *
     * @param kind The kind of stand-in.
     * @param reason The reason.
     */
    public record StartFailed(String kind, String reason) implements Event {}
}
