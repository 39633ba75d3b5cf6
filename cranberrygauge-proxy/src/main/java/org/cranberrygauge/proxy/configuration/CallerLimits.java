package org.cranberrygauge.proxy.configuration;

/**
 * What callers may send, and how long their connections may be idle.
 *
 * @param bodyBytes The maximum size of a request body in bytes.
 * @param idleMillis The time for which a connection may stay idle, in milliseconds.
 */
public record CallerLimits(long bodyBytes, long idleMillis) {}
