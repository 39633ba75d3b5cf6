package org.cranberrygauge.proxy;

import org.cranberrygauge.runtime.event.Event;

/** The events of the process. */
public final class ProxyEvents {

    /** Prevents instances. */
    private ProxyEvents() {}

    /**
     * The process listens.
     *
     * @param host The name of the host.
     * @param dataCentre The data centre.
     * @param version The version of the program.
     */
    public record ProxyStarted(String host, String dataCentre, String version) implements Event {}

    /**
     * The process could not start.
     *
     * @param detail What happened.
     */
    public record ProxyStartFailed(String detail) implements Event {}

    /**
     * The process was told to stop and drains.
     *
     * @param active The requests in progress.
     */
    public record ProxyDraining(int active) implements Event {}

    /**
     * The process ends.
     *
     * @param active The requests that are cut off.
     * @param afterMillis The time since it was told to stop, in milliseconds.
     */
    public record ProxyStopped(int active, long afterMillis) implements Event {}

    /**
     * The settings were read again.
     *
     * @param outcome What came of it.
     */
    public record SettingsReloaded(String outcome) implements Event {}
}
