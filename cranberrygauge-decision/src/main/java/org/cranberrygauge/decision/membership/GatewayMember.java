package org.cranberrygauge.decision.membership;

/**
 * A gateway that has joined and not left, as recorded in the log.
 *
 * @param address The address on which its peers exchange reports with it.
 */
public record GatewayMember(String gateway, String host, String dataCentre, String address) {}
