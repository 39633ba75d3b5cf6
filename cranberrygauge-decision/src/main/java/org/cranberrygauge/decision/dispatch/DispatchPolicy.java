package org.cranberrygauge.decision.dispatch;

import org.cranberrygauge.decision.admission.AdmissionQueue;
import org.cranberrygauge.decision.admission.TieredAdmissionQueue;
import org.cranberrygauge.decision.estimate.OutputEstimate;
import org.cranberrygauge.decision.preemption.PreemptionPolicy;
import org.cranberrygauge.decision.routing.BackendTable;
import org.cranberrygauge.decision.routing.OutlierDetection;
import org.cranberrygauge.decision.routing.PredictedFirstToken;
import org.cranberrygauge.decision.routing.PrefixAffinity;
import org.cranberrygauge.decision.routing.RoutingPolicy;
import org.cranberrygauge.decision.share.SlotDivision;

/**
 * The decisions that a dispatcher puts together; its parts belong to one dispatcher.
 *
 * @param queue The admission queue.
 * @param routing The routing policy.
 * @param table The backend servers.
 * @param preemption Decides which running request gives way.
 * @param estimate Estimates the length of answers.
 */
public record DispatchPolicy(
        AdmissionQueue queue,
        RoutingPolicy routing,
        BackendTable table,
        PreemptionPolicy preemption,
        OutputEstimate estimate) {

    /** The number of prefixes that a gateway remembers. */
    private static final int PREFIX_LIMIT = 4_096;

    /** The quantile of the output length by which customers are charged in advance. */
    private static final double CHARGED_QUANTILE = 0.5;

    /**
     * Creates the decisions that gateways use.
     *
     * @return The decisions.
     */
    public static DispatchPolicy standard() {
        return new DispatchPolicy(
                new TieredAdmissionQueue(),
                new PredictedFirstToken(new PrefixAffinity.Recent(PREFIX_LIMIT)),
                new BackendTable(SlotDivision.DemandShare.INSTANCE, OutlierDetection.PEERS),
                PreemptionPolicy.LowestTierFirst.INSTANCE,
                new OutputEstimate.Quantile(CHARGED_QUANTILE));
    }

    /**
     * Replaces the admission queue.
     *
     * @param replacement The queue.
     * @return The refined decisions.
     */
    public DispatchPolicy withQueue(AdmissionQueue replacement) {
        return new DispatchPolicy(replacement, routing, table, preemption, estimate);
    }

    /**
     * Replaces the routing policy.
     *
     * @param replacement The policy.
     * @return The refined decisions.
     */
    public DispatchPolicy withRouting(RoutingPolicy replacement) {
        return new DispatchPolicy(queue, replacement, table, preemption, estimate);
    }

    /**
     * Replaces the table of backend servers.
     *
     * @param replacement The table.
     * @return The refined decisions.
     */
    public DispatchPolicy withTable(BackendTable replacement) {
        return new DispatchPolicy(queue, routing, replacement, preemption, estimate);
    }

    /**
     * Replaces the rule of preemption.
     *
     * @param replacement The rule.
     * @return The refined decisions.
     */
    public DispatchPolicy withPreemption(PreemptionPolicy replacement) {
        return new DispatchPolicy(queue, routing, table, replacement, estimate);
    }

    /**
     * Replaces the estimate of the length of answers.
     *
     * @param replacement The estimate.
     * @return The refined decisions.
     */
    public DispatchPolicy withEstimate(OutputEstimate replacement) {
        return new DispatchPolicy(queue, routing, table, preemption, replacement);
    }
}
