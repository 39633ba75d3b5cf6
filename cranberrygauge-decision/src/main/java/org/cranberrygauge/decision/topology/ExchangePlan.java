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
 * Decides with which nodes each node exchanges reports.
 *
 * <p>Implementations are immutable and thread-safe. All nodes that know the same members compute the same plan.
 */
public interface ExchangePlan {

    /**
     * Returns the nodes that a node calls in each round.
     *
     * @param members All nodes, with or without the node itself.
     */
    Set<ControlNode> peersOf(ControlNode self, Collection<ControlNode> members);

    /**
     * Returns the nodes that a node calls if each pair needs only one call, because the answer carries a report as
     * well.
     *
     * @param members All nodes, with or without the node itself.
     * @return The peers that the node calls; the other peers call it.
     */
    default Set<ControlNode> callsOf(ControlNode self, Collection<ControlNode> members) {
        Set<ControlNode> calls = new LinkedHashSet<>(peersOf(self, members));
        calls.removeIf(peer -> peersOf(peer, members).contains(self)
                && RendezvousHash.score(self.name(), peer.name()) < RendezvousHash.score(peer.name(), self.name()));
        return calls;
    }

    /** Exchanges reports with every node. A baseline for a small number of nodes. */
    enum AllToAll implements ExchangePlan {
        INSTANCE;

        @Override
        public Set<ControlNode> peersOf(ControlNode self, Collection<ControlNode> members) {
            Set<ControlNode> peers = new LinkedHashSet<>(members);
            peers.remove(self);
            return peers;
        }
    }

    /**
     * Exchanges reports within a cell of one data centre. The log readers of a cell also call a fixed number of other
     * cells.
     *
     * <p>Invariants: a node is in exactly one cell; a cell has at most one and a half times the target size, rounded
     * up; the number of peers does not grow with the number of nodes.
     *
     * @param cellSize The target number of nodes in a cell.
     * @param readersPerCell The number of members that read the log for their cell.
     * @param linksPerReader The number of other cells that a reader calls.
     */
    record Cells(int cellSize, int readersPerCell, int linksPerReader) implements ExchangePlan {

        /** The ratio of the maximum size of a cell to its target size. */
        private static final double MAXIMUM_SIZE_FACTOR = 1.5;

        /** Returns the default plan. */
        public static Cells standard() {
            return new Cells(8, 2, 2);
        }

        /**
         * Divides nodes into cells.
         *
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
         * Divides the backend servers of a data centre among its cells, evenly for each model.
         *
         * @param cells The cells of the data centre.
         * @param servers The names of the servers that run one model.
         * @return The names of the servers by the name of the cell.
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
            Cell ownCell = cells.stream()
                    .filter(cell -> cell.members().contains(self))
                    .findFirst()
                    .orElseThrow();
            Set<ControlNode> peers = new LinkedHashSet<>(ownCell.members());
            if (ownCell.logReaders().contains(self)) {
                peers.addAll(linkedReaders(self, ownCell, cells));
            }
            peers.remove(self);
            return peers;
        }

        /**
         * Returns the readers of other cells that a reader calls, those in other data centres first.
         *
         * @param self The reader.
         */
        private List<ControlNode> linkedReaders(ControlNode self, Cell ownCell, List<Cell> cells) {
            List<Cell> others =
                    cells.stream().filter(cell -> !cell.equals(ownCell)).toList();
            List<Cell> ranked = new ArrayList<>(RendezvousHash.ranked(self.name(), others, Cell::name));
            ranked.sort(Comparator.comparing(cell -> cell.dataCentre().equals(ownCell.dataCentre())));
            return ranked.stream()
                    .limit(linksPerReader)
                    .map(cell -> RendezvousHash.ranked(self.name(), cell.logReaders(), ControlNode::name)
                            .get(0))
                    .toList();
        }

        /** Divides the nodes of one data centre into cells. */
        private List<Cell> cellsOf(String dataCentre, List<ControlNode> nodes) {
            int count = Math.max(1, (int) Math.round((double) nodes.size() / cellSize));
            List<String> names = new ArrayList<>();
            for (int number = 1; number <= count; number++) {
                names.add(dataCentre + "/" + number);
            }
            Map<String, ControlNode> byName =
                    nodes.stream().collect(Collectors.toMap(ControlNode::name, Function.identity()));
            int limit = (int) Math.ceil(MAXIMUM_SIZE_FACTOR * cellSize);
            List<Cell> cells = new ArrayList<>();
            RendezvousHash.divide(byName.keySet(), names, limit).forEach((name, keys) -> {
                if (!keys.isEmpty()) {
                    cells.add(cell(
                            name, dataCentre, keys.stream().map(byName::get).toList()));
                }
            });
            return cells;
        }

        private Cell cell(String name, String dataCentre, List<ControlNode> members) {
            List<ControlNode> readers = RendezvousHash.ranked(name, members, ControlNode::name).stream()
                    .limit(readersPerCell)
                    .toList();
            return new Cell(name, dataCentre, members, readers);
        }
    }
}
