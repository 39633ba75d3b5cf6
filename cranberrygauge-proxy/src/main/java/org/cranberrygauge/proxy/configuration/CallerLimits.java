package org.cranberrygauge.proxy.configuration;

/**
 * What callers may send and how long they may take.
 *
 * @param bodyBytes The longest body in bytes.
 * @param idleMillis The time for which a connection may stay idle, in milliseconds.
 */
public record CallerLimits(long bodyBytes, long idleMillis) {}
