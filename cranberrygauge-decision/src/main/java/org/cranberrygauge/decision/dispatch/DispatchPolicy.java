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
 * The policies that a {@link Dispatcher} is composed of. Its parts are stateful and must not be shared between
 * dispatchers.
 *
 * @param preemption Decides which running request is preempted.
 * @param estimate Estimates the output length of requests.
 */
public record DispatchPolicy(
        AdmissionQueue queue,
        RoutingPolicy routing,
        BackendTable table,
        PreemptionPolicy preemption,
        OutputEstimate estimate) {

    /** The number of prefixes that a gateway remembers. */
    private static final int PREFIX_LIMIT = 4_096;

    /** The quantile of the output length that customers are charged in advance. */
    private static final double CHARGED_QUANTILE = 0.5;

    /** Creates the policies used by gateways. */
    public static DispatchPolicy standard() {
        return new DispatchPolicy(
                new TieredAdmissionQueue(),
                new PredictedFirstToken(new PrefixAffinity.Recent(PREFIX_LIMIT)),
                new BackendTable(SlotDivision.DemandShare.INSTANCE, OutlierDetection.PEERS),
                PreemptionPolicy.LowestTierFirst.INSTANCE,
                new OutputEstimate.Quantile(CHARGED_QUANTILE));
    }

    /** Returns a copy with another admission queue. */
    public DispatchPolicy withQueue(AdmissionQueue replacement) {
        return new DispatchPolicy(replacement, routing, table, preemption, estimate);
    }

    /** Returns a copy with another routing policy. */
    public DispatchPolicy withRouting(RoutingPolicy replacement) {
        return new DispatchPolicy(queue, replacement, table, preemption, estimate);
    }

    /** Returns a copy with another table of backend servers. */
    public DispatchPolicy withTable(BackendTable replacement) {
        return new DispatchPolicy(queue, routing, replacement, preemption, estimate);
    }

    /** Returns a copy with another preemption policy. */
    public DispatchPolicy withPreemption(PreemptionPolicy replacement) {
        return new DispatchPolicy(queue, routing, table, replacement, estimate);
    }

    /** Returns a copy with another estimate of the output length. */
    public DispatchPolicy withEstimate(OutputEstimate replacement) {
        return new DispatchPolicy(queue, routing, table, preemption, replacement);
    }
}
