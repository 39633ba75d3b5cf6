package org.cranberrygauge.decision.fleet;

/**
 * A decision to change the size of a pool.
 *
 * @param desiredCount The number of backend servers that the pool should have.
 * @param reason The reason code.
 */
public record FleetOrder(String pool, int desiredCount, String reason) {}
