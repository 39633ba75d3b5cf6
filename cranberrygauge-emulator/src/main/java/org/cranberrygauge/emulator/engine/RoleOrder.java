package org.cranberrygauge.emulator.engine;

import java.util.Set;

/**
 * An order to change what an engine serves.
 *
 * @param models The models that shall run, whole.
 * @param fencingNumber The fencing number of who orders.
 */
public record RoleOrder(Set<String> models, long fencingNumber) {}
