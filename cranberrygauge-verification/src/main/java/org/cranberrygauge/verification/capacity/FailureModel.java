package org.cranberrygauge.verification.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.topology.ControlNode;
import org.cranberrygauge.decision.topology.ExchangePlan;

/**
 * Estimates the cost of failures at the target size.
 *
 * <p>Not thread-safe.
 */
final class FailureModel {

    /** The number of hosts in a rack, which is an assumption. */
    private static final int RACK_HOSTS = 16;

    /** The number of hosts that fail, restart or are replaced per day. */
    private static final int RESTARTS_PER_DAY = 7 + 240;

    /** The share of the data centres that lie in the smaller region. */
    private static final double SMALLER_REGION = 3.0 / SyntheticData.DATA_CENTRES;

    private final EstimateTable table;

    FailureModel(EstimateTable table) {
        this.table = table;
    }

    void add() {
        table.role("failures");
        List<ControlNode> nodes = ExchangeBenchmark.nodes(TargetSize.NODES);
        table.figure("join and leave records", 2.0 * RESTARTS_PER_DAY, "records/day", "7 failures and 240 restarts");
        table.figure(
                "nodes that change cell when a host is lost", moved(nodes, 1), "nodes", "mean of 30 losses, computed");
        table.figure(
                "nodes that change cell when a rack is lost",
                moved(nodes, RACK_HOSTS),
                "nodes",
                "16 hosts of one data centre, mean of 30 losses, computed");
        List<ControlNode> rest = nodes.stream()
                .filter(node -> !node.dataCentre().equals("centre-0"))
                .toList();
        table.figure("nodes that change cell when a data centre is lost", changed(nodes, rest), "nodes", "computed");
        table.figure(
                "requests on each remaining node when a data centre is lost",
                TargetSize.REQUESTS_PER_SECOND / rest.size(),
                "requests/s",
                "23.3 before");
        double changes = TargetSize.AVERAGE_CHANGES_PER_SECOND * TargetSize.HOUR_SECONDS;
        table.figure(
                "changes delayed in an hour of partition between regions, one authority",
                changes * SMALLER_REGION,
                "changes",
                "3 of 7 data centres are cut off from the log");
        table.figure(
                "reserved calls refused in that hour, one log",
                TargetSize.RESERVED_PER_SECOND * TargetSize.HOUR_SECONDS * SMALLER_REGION,
                "calls",
                "each rejected as not run, with a Retry-After");
        table.figure(
                "reserved calls refused in that hour, a log for each region",
                0,
                "calls",
                "if each at-most-once route has a home region and its callers reach it");
    }

    /**
     * Returns the mean number of nodes that move to another cell when the given number of nodes of one data centre is
     * lost at once.
     */
    private static double moved(List<ControlNode> nodes, int lost) {
        int rounds = 30;
        double sum = 0;
        for (int round = 0; round < rounds; round++) {
            List<ControlNode> rest = new ArrayList<>(nodes);
            for (int number = 0; number < lost; number++) {
                int host = (round + number * SyntheticData.DATA_CENTRES) % nodes.size();
                rest.remove(nodes.get(host));
            }
            sum += changed(nodes, rest);
        }
        return sum / rounds;
    }

    /** Counts the nodes whose cell differs. */
    private static double changed(List<ControlNode> before, List<ControlNode> after) {
        Map<ControlNode, String> old = cells(before);
        Map<ControlNode, String> next = cells(after);
        return after.stream()
                .filter(node -> !old.get(node).equals(next.get(node)))
                .count();
    }

    private static Map<ControlNode, String> cells(List<ControlNode> nodes) {
        Map<ControlNode, String> names = new HashMap<>();
        ExchangePlan.Cells.standard()
                .cells(nodes)
                .forEach(cell -> cell.members().forEach(node -> names.put(node, cell.name())));
        return names;
    }
}
