package org.cranberrygauge.proxy.configuration;

/**
 * A pool with its weight among the pools of a route.
 *
 * @param pool The name of the pool.
 * @param weight The weight; 0 excludes the pool.
 */
public record WeightedPool(String pool, int weight) {}
