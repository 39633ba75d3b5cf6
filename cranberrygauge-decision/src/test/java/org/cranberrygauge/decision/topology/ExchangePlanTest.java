package org.cranberrygauge.decision.topology;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ExchangePlanTest {

    private static final int DATA_CENTRES = 7;

    private static final int LARGEST_CELL = 12;

    private final ExchangePlan.Cells plan = ExchangePlan.Cells.standard();

    @Property(tries = 60, seed = "1")
    void each_node_is_in_exactly_one_cell_of_its_data_centre(@ForAll @IntRange(min = 1, max = 400) int count) {
        List<ControlNode> nodes = nodes(count);
        List<Cell> cells = plan.cells(nodes);
        assertThat(cells.stream().flatMap(cell -> cell.members().stream())).containsExactlyInAnyOrderElementsOf(nodes);
        assertThat(cells).allSatisfy(cell -> {
            assertThat(cell.members()).hasSizeBetween(1, LARGEST_CELL);
            assertThat(cell.members()).allMatch(node -> node.dataCentre().equals(cell.dataCentre()));
            assertThat(cell.members()).containsAll(cell.logReaders());
        });
    }

    @Property(tries = 40, seed = "2")
    void the_number_of_peers_does_not_grow_with_the_number_of_nodes(@ForAll @IntRange(min = 2, max = 400) int count) {
        List<ControlNode> nodes = nodes(count);
        for (ControlNode node : nodes.subList(0, Math.min(5, count))) {
            assertThat(plan.peersOf(node, nodes).size()).isLessThanOrEqualTo(LARGEST_CELL - 1 + plan.linksPerReader());
        }
        assertThat(ExchangePlan.AllToAll.INSTANCE.peersOf(nodes.get(0), nodes)).hasSize(count - 1);
    }

    @Test
    void each_pair_of_a_cell_calls_once() {
        List<ControlNode> nodes = nodes(60);
        for (Cell cell : plan.cells(nodes)) {
            for (ControlNode one : cell.members()) {
                for (ControlNode other : cell.members()) {
                    if (one.name().compareTo(other.name()) < 0) {
                        assertThat(plan.callsOf(one, nodes).contains(other))
                                .isNotEqualTo(plan.callsOf(other, nodes).contains(one));
                    }
                }
            }
        }
    }

    @Test
    void every_node_reaches_the_same_plan_whatever_the_order_of_the_members() {
        List<ControlNode> nodes = nodes(330);
        List<ControlNode> shuffled = new ArrayList<>(nodes);
        Collections.shuffle(shuffled, new Random(3));
        assertThat(plan.cells(shuffled)).isEqualTo(plan.cells(nodes));
    }

    @Test
    void the_loss_of_one_host_moves_few_nodes_between_cells() {
        List<ControlNode> nodes = nodes(330);
        Map<ControlNode, String> before = cellNames(nodes);
        for (int lost = 0; lost < 40; lost++) {
            List<ControlNode> rest = new ArrayList<>(nodes);
            rest.remove(lost);
            Map<ControlNode, String> after = cellNames(rest);
            long moved = rest.stream()
                    .filter(node -> !before.get(node).equals(after.get(node)))
                    .count();
            assertThat(moved).isLessThan(30);
        }
    }

    @Test
    void the_links_of_the_readers_connect_all_cells() {
        List<ControlNode> nodes = nodes(330);
        Map<String, ControlNode> reached = new HashMap<>();
        List<ControlNode> open = new ArrayList<>(List.of(nodes.get(0)));
        while (!open.isEmpty()) {
            ControlNode node = open.remove(open.size() - 1);
            if (reached.putIfAbsent(node.name(), node) == null) {
                open.addAll(plan.peersOf(node, nodes));
            }
        }
        assertThat(reached).hasSize(330);
    }

    @Test
    void the_backend_servers_of_a_model_are_divided_evenly_over_the_cells() {
        List<Cell> cells = plan.cells(nodes(330)).stream()
                .filter(cell -> cell.dataCentre().equals("centre-0"))
                .toList();
        List<String> servers =
                IntStream.range(0, 134).mapToObj(number -> "engine-" + number).toList();
        int limit = (134 + cells.size() - 1) / cells.size();
        assertThat(plan.serversOf(cells, servers).values())
                .allMatch(taken -> taken.size() <= limit)
                .satisfies(taken ->
                        assertThat(taken.stream().mapToInt(List::size).sum()).isEqualTo(134));
    }

    private Map<ControlNode, String> cellNames(List<ControlNode> nodes) {
        Map<ControlNode, String> names = new HashMap<>();
        plan.cells(nodes).forEach(cell -> cell.members().forEach(node -> names.put(node, cell.name())));
        return names;
    }

    private static List<ControlNode> nodes(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new ControlNode("host-" + number, "centre-" + number % DATA_CENTRES))
                .toList();
    }
}
