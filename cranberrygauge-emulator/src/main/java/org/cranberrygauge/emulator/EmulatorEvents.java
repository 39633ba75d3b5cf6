package org.cranberrygauge.emulator;

import org.cranberrygauge.runtime.event.Event;

/** Events that emulators write to the event log. */
public final class EmulatorEvents {

    private EmulatorEvents() {}

    /**
     * An emulator has started and listens.
     *
     * @param kind The kind of emulator, which is the name of its command.
     * @param port The port that it listens on.
     */
    public record Listening(String kind, int port) implements Event {}

    /**
     * An emulator could not start.
     *
     * @param kind The kind of emulator, which is the name of its command.
     * @param reason The message of the error.
     */
    public record StartFailed(String kind, String reason) implements Event {}
}
