package org.cranberrygauge.proxy.configuration;

/**
 * The capacity of each engine of a pool.
 *
 * @param slots The number of requests that run at once.
 * @param memoryTokens The size of the KV cache in tokens, which running requests and cached prompt parts share.
 */
public record EngineLimits(int slots, long memoryTokens) {}
