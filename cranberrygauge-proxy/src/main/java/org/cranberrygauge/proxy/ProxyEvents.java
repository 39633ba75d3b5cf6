package org.cranberrygauge.proxy;

import org.cranberrygauge.runtime.event.Event;

/** The events of the process. */
public final class ProxyEvents {

    private ProxyEvents() {}

    /**
     * The process accepts connections.
     *
     * @param host The name of the host.
     * @param dataCentre The data centre of the host.
     * @param version The version of the program.
     */
    public record ProxyStarted(String host, String dataCentre, String version) implements Event {}

    /**
     * The process could not start.
     *
     * @param detail The error message.
     */
    public record ProxyStartFailed(String detail) implements Event {}

    /**
     * The process received a stop signal and drains.
     *
     * @param active The number of requests in progress.
     */
    public record ProxyDraining(int active) implements Event {}

    /**
     * The process exits.
     *
     * @param active The number of requests that are cut off, also within a response that their callers read slowly.
     * @param afterMillis The time since the stop signal in milliseconds.
     */
    public record ProxyStopped(int active, long afterMillis) implements Event {}

    /**
     * The settings were read again.
     *
     * @param outcome Whether they changed, or why they were rejected.
     */
    public record SettingsReloaded(String outcome) implements Event {}
}
