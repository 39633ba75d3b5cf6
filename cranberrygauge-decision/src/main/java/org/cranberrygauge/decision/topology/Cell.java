package org.cranberrygauge.decision.topology;

import java.util.List;

/**
 * Nodes of one data centre that exchange with each other and share backend servers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name The name, unique in the system.
 * @param dataCentre The name of its data centre.
 * @param members The members in the order of their names.
 * @param logReaders The members that read the log and pass it on to the others.
 */
public record Cell(String name, String dataCentre, List<ControlNode> members, List<ControlNode> logReaders) {

    /** Copies the lists. */
    public Cell {
        members = List.copyOf(members);
        logReaders = List.copyOf(logReaders);
    }
}
