package org.cranberrygauge.model.backend;

/**
 * A backend server in the platform's lagging list.
 *
 * @param server The backend server.
 * @param state The state as listed.
 * @param pool The name of the pool it was ordered for, or an empty string.
 */
public record ListedBackendServer(BackendServer server, HostState state, String pool) {}
