package org.cranberrygauge.decision.membership;

/**
 * The liveness of a host on which a gateway is a member, as known to one process.
 *
 * @param listed Whether the platform has listed the host.
 * @param lastListedMillis The monotonic time at which the platform last listed the host, in milliseconds.
 * @param lastReportMillis The monotonic time at which any gateway last received a report of the host's gateway, in
 *     milliseconds.
 */
public record HostLiveness(String host, boolean listed, long lastListedMillis, long lastReportMillis) {}
