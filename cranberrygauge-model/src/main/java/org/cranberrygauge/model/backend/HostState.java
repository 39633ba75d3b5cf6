package org.cranberrygauge.model.backend;

/** The state of a host in the platform's lagging list. */
public enum HostState {
    /** The host is ordered and starts up. */
    STARTING,
    /** The host is live. */
    LIVE,
    /** The host will leave and gets no new work. */
    LEAVING
}
