package org.cranberrygauge.decision.topology;

import java.util.List;

/**
 * Nodes of one data centre that exchange reports with each other and share backend servers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name The name, unique in the system.
 * @param members The members in the order of their names.
 * @param logReaders The members that read the log and relay it to the others.
 */
public record Cell(String name, String dataCentre, List<ControlNode> members, List<ControlNode> logReaders) {

    public Cell {
        members = List.copyOf(members);
        logReaders = List.copyOf(logReaders);
    }
}
