package org.cranberrygauge.decision.membership;

/**
 * What a process knows of a host on which a gateway is a member.
 *
 * @param host The host.
 * @param listed Whether the platform listed it since the gateway joined.
 * @param lastListedMillis The monotonic time at which the platform last listed it.
 * @param lastHeardMillis The monotonic time at which its gateway was last heard by any gateway.
 */
public record HostLiveness(String host, boolean listed, long lastListedMillis, long lastHeardMillis) {}
