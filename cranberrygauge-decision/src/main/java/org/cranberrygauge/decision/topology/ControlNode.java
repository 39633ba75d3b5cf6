package org.cranberrygauge.decision.topology;

/**
 * A node of the exchange topology.
 *
 * @param name The name of the host.
 */
public record ControlNode(String name, String dataCentre) {}
