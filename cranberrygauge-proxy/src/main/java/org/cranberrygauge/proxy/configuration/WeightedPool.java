package org.cranberrygauge.proxy.configuration;

/**
 * A pool that takes a share of a route's requests.
 *
 * @param pool The name of the pool.
 * @param weight The weight against the other pools of the route.
 */
public record WeightedPool(String pool, int weight) {}
