package org.cranberrygauge.emulator.engine;

import java.util.Set;

/**
 * An order to replace the models that an engine serves.
 *
 * @param models All models that the engine is to serve.
 * @param fencingNumber The fencing number of the lease holder that sends the order.
 */
public record RoleOrder(Set<String> models, long fencingNumber) {}
