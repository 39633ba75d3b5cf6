package org.cranberrygauge.model.backend;

/** The state of a host in the platform's list, which may lag behind. */
public enum HostState {
    /** The host was ordered and is starting. */
    STARTING,
    LIVE,
    /** The host is going to be removed and gets no new work. */
    LEAVING
}
