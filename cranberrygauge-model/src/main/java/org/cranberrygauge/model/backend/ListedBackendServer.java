package org.cranberrygauge.model.backend;

/**
 * A backend server in the platform's list, which may lag behind.
 *
 * @param pool The name of the pool that the server was ordered for, or an empty string.
 */
public record ListedBackendServer(BackendServer server, HostState state, String pool) {}
