package org.cranberrygauge.decision.membership;

/**
 * A gateway that joined and did not leave, as it stands in the log.
 *
 * @param gateway The incarnation of the gateway.
 * @param host The host.
 * @param dataCentre The name of its data centre.
 * @param address The address of its peers' exchange.
 */
public record GatewayMember(String gateway, String host, String dataCentre, String address) {}
