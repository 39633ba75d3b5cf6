package org.cranberrygauge.proxy.configuration;

/**
 * What one engine of a pool can hold.
 *
 * @param slots The requests that run at once.
 * @param memoryTokens The tokens that running requests and cached prompt parts share.
 */
public record EngineLimits(int slots, long memoryTokens) {}
