package org.cranberrygauge.verification.capacity;

import java.util.List;
import org.cranberrygauge.decision.topology.ExchangePlan;

/** Estimates the cost of the control plane at the target size from measured slopes. */
final class TargetModel {

    private TargetModel() {}

    /** Returns all estimates, ordered by role. */
    static List<Estimate> estimates(List<Slope> measured) {
        SlopeTable slopes = new SlopeTable(measured);
        EstimateTable table = new EstimateTable();
        int cells = ExchangePlan.Cells.standard()
                .cells(ExchangeBenchmark.nodes(TargetSize.NODES))
                .size();
        NodeRoleEstimator nodes = new NodeRoleEstimator(slopes, table);
        nodes.add();
        new LogRoleEstimator(slopes, table, cells).add();
        nodes.addMetrics();
        table.totals();
        new FailureModel(table).add();
        return table.estimates();
    }
}
