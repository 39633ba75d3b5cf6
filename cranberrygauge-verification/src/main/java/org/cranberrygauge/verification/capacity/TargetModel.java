package org.cranberrygauge.verification.capacity;

import java.util.List;
import org.cranberrygauge.decision.topology.ExchangePlan;

/**
 * Works out the cost of control at the target size from measured slopes.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class TargetModel {

    /** Prevents instances. */
    private TargetModel() {}

    /**
     * Works out all estimates.
     *
     * @param measured The slopes.
     * @return The estimates in the order of the roles.
     */
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
        table.sums();
        new FailureModel(table).add();
        return table.estimates();
    }
}
