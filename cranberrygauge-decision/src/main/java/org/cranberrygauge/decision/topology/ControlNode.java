package org.cranberrygauge.decision.topology;

/**
 * A node as the topology sees it.
 *
 * @param name The name of the host.
 * @param dataCentre The name of its data centre.
 */
public record ControlNode(String name, String dataCentre) {}
