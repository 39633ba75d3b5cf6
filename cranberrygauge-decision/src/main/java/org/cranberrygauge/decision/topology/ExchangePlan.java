package org.cranberrygauge.decision.topology;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Decides with which nodes a node exchanges reports.
 *
 * <p>Implementations are immutable and safe for use by several threads, and every node that knows the same members
 * reaches the same plan.
 */
public interface ExchangePlan {

    /**
     * Lists the nodes that a node calls in each round.
     *
     * @param self The node.
     * @param members All nodes, with or without the node itself.
     * @return The nodes that it calls.
     */
    Set<ControlNode> peersOf(ControlNode self, Collection<ControlNode> members);

    /**
     * Lists the nodes that a node calls where each pair needs one call only, since the answer carries a report too.
     *
     * @param self The node.
     * @param members All nodes, with or without the node itself.
     * @return The part of its peers that it calls; the others call it.
     */
    default Set<ControlNode> callsOf(ControlNode self, Collection<ControlNode> members) {
        Set<ControlNode> calls = new LinkedHashSet<>(peersOf(self, members));
        calls.removeIf(peer -> peersOf(peer, members).contains(self)
                && RendezvousHash.score(self.name(), peer.name()) < RendezvousHash.score(peer.name(), self.name()));
        return calls;
    }

    /** Exchanges with every node, which is the baseline for few nodes. */
    enum AllToAll implements ExchangePlan {
        /** The only instance. */
        INSTANCE;

        @Override
        public Set<ControlNode> peersOf(ControlNode self, Collection<ControlNode> members) {
            Set<ControlNode> peers = new LinkedHashSet<>(members);
            peers.remove(self);
            return peers;
        }
    }

    /**
     * Exchanges within a cell of one data centre; the log readers of a cell also call a fixed number of other cells.
     *
     * <p>Invariants: a node is in exactly one cell; a cell has at most one and a half times the target size, rounded up;
     * the number of peers does not grow with the number of nodes.
     *
     * @param cellSize The target number of nodes in a cell.
     * @param readersPerCell The number of members that read the log for their cell.
     * @param linksPerReader The number of other cells that a reader calls.
     */
    record Cells(int cellSize, int readersPerCell, int linksPerReader) implements ExchangePlan {

        /** The factor between the target size of a cell and its limit. */
        private static final double SLACK = 1.5;

        /**
         * Returns the plan for the target size.
         *
         * @return The plan.
         */
        public static Cells standard() {
            return new Cells(8, 2, 2);
        }

        /**
         * Divides nodes into cells.
         *
         * @param members All nodes.
         * @return The cells in the order of their names.
         */
        public List<Cell> cells(Collection<ControlNode> members) {
            Map<String, List<ControlNode>> byDataCentre = members.stream()
                    .distinct()
                    .collect(Collectors.groupingBy(ControlNode::dataCentre, TreeMap::new, Collectors.toList()));
            List<Cell> cells = new ArrayList<>();
            byDataCentre.forEach((dataCentre, nodes) -> cells.addAll(cellsOf(dataCentre, nodes)));
            return cells;
        }

        /**
         * Divides the backend servers of a data centre over its cells, each model evenly.
         *
         * @param cells The cells of the data centre.
         * @param servers The names of the servers that run one model.
         * @return The names by the name of the cell.
         */
        public Map<String, List<String>> serversOf(Collection<Cell> cells, Collection<String> servers) {
            int limit = (servers.size() + cells.size() - 1) / cells.size();
            return RendezvousHash.divide(servers, cells.stream().map(Cell::name).toList(), limit);
        }

        @Override
        public Set<ControlNode> peersOf(ControlNode self, Collection<ControlNode> members) {
            Set<ControlNode> all = new LinkedHashSet<>(members);
            all.add(self);
            List<Cell> cells = cells(all);
            Cell own = cells.stream()
                    .filter(cell -> cell.members().contains(self))
                    .findFirst()
                    .orElseThrow();
            Set<ControlNode> peers = new LinkedHashSet<>(own.members());
            if (own.logReaders().contains(self)) {
                peers.addAll(links(self, own, cells));
            }
            peers.remove(self);
            return peers;
        }

        /**
         * Lists the readers of other cells that a reader calls, other data centres first.
         *
         * @param self The reader.
         * @param own Its cell.
         * @param cells All cells.
         * @return The readers.
         */
        private List<ControlNode> links(ControlNode self, Cell own, List<Cell> cells) {
            List<Cell> others = cells.stream().filter(cell -> !cell.equals(own)).toList();
            List<Cell> ranked = new ArrayList<>(RendezvousHash.ranked(self.name(), others, Cell::name));
            ranked.sort(Comparator.comparing(cell -> cell.dataCentre().equals(own.dataCentre())));
            return ranked.stream()
                    .limit(linksPerReader)
                    .map(cell -> RendezvousHash.ranked(self.name(), cell.logReaders(), ControlNode::name)
                            .get(0))
                    .toList();
        }

        /**
         * Divides the nodes of one data centre.
         *
         * @param dataCentre The name of the data centre.
         * @param nodes Its nodes.
         * @return The cells.
         */
        private List<Cell> cellsOf(String dataCentre, List<ControlNode> nodes) {
            int count = Math.max(1, (int) Math.round((double) nodes.size() / cellSize));
            List<String> names = new ArrayList<>();
            for (int number = 1; number <= count; number++) {
                names.add(dataCentre + "/" + number);
            }
            Map<String, ControlNode> byName =
                    nodes.stream().collect(Collectors.toMap(ControlNode::name, Function.identity()));
            int limit = (int) Math.ceil(SLACK * cellSize);
            List<Cell> cells = new ArrayList<>();
            RendezvousHash.divide(byName.keySet(), names, limit).forEach((name, keys) -> {
                if (!keys.isEmpty()) {
                    cells.add(cell(
                            name, dataCentre, keys.stream().map(byName::get).toList()));
                }
            });
            return cells;
        }

        /**
         * Builds one cell.
         *
         * @param name The name.
         * @param dataCentre The name of its data centre.
         * @param members The members.
         * @return The cell.
         */
        private Cell cell(String name, String dataCentre, List<ControlNode> members) {
            List<ControlNode> readers = RendezvousHash.ranked(name, members, ControlNode::name).stream()
                    .limit(readersPerCell)
                    .toList();
            return new Cell(name, dataCentre, members, readers);
        }
    }
}
