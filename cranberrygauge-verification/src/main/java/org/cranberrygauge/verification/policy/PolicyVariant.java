package org.cranberrygauge.verification.policy;

import java.util.List;
import java.util.function.Supplier;
import org.cranberrygauge.decision.admission.AdmissionPolicy;
import org.cranberrygauge.decision.admission.CustomerQueues;
import org.cranberrygauge.decision.admission.FirstInFirstOutQueue;
import org.cranberrygauge.decision.admission.GuaranteedSharePolicy;
import org.cranberrygauge.decision.admission.TieredAdmissionQueue;
import org.cranberrygauge.decision.admission.WaitLimit;
import org.cranberrygauge.decision.dispatch.DispatchPolicy;
import org.cranberrygauge.decision.estimate.OutputEstimate;
import org.cranberrygauge.decision.preemption.PreemptionPolicy;
import org.cranberrygauge.decision.routing.BackendTable;
import org.cranberrygauge.decision.routing.OutlierDetection;
import org.cranberrygauge.decision.routing.PredictedFirstToken;
import org.cranberrygauge.decision.routing.PrefixAffinity;
import org.cranberrygauge.decision.routing.RoutingPolicy;
import org.cranberrygauge.decision.share.SlotDivision;

/**
 * A policy under comparison.
 *
 * @param exchangeMillis The interval at which gateways exchange their counts.
 * @param decisions Creates the policy of one gateway.
 */
record PolicyVariant(String name, Kind kind, long exchangeMillis, Supplier<DispatchPolicy> decisions) {

    /** The interval at which gateways exchange their counts. */
    private static final long EXCHANGE_MILLIS = 250;

    /** An exchange interval short enough to approximate a central owner that grants each slot. */
    private static final long OWNER_EXCHANGE_MILLIS = 2;

    static final PolicyVariant OURS = of("ours", Kind.OURS, DispatchPolicy::standard);

    /** Returns all variants, ours first. */
    static List<PolicyVariant> all() {
        return List.of(
                OURS,
                routing("round-robin", RoutingPolicy.RoundRobin::new),
                routing("random", () -> RoutingPolicy.Uniform.INSTANCE),
                routing("least-in-flight", () -> RoutingPolicy.LeastInFlight.INSTANCE),
                routing("two-choices", () -> RoutingPolicy.TwoChoices.INSTANCE),
                of(
                        "first-in-first-out",
                        Kind.BASELINE,
                        () -> DispatchPolicy.standard()
                                .withQueue(new FirstInFirstOutQueue())
                                .withPreemption(PreemptionPolicy.Disabled.INSTANCE)),
                admission(
                        "strict-priority",
                        Kind.BASELINE,
                        AdmissionPolicy.standard().withShares(GuaranteedSharePolicy.Disabled.INSTANCE)),
                division("per-gateway-static", Kind.BASELINE, SlotDivision.EqualParts.INSTANCE, EXCHANGE_MILLIS),
                division("exchanged-counts", Kind.ABLATION, SlotDivision.ExchangedCounts.INSTANCE, EXCHANGE_MILLIS),
                division(
                        "owner-grants-bound",
                        Kind.ABLATION,
                        SlotDivision.ExchangedCounts.INSTANCE,
                        OWNER_EXCHANGE_MILLIS),
                of(
                        "no-preemption",
                        Kind.ABLATION,
                        () -> DispatchPolicy.standard().withPreemption(PreemptionPolicy.Disabled.INSTANCE)),
                of(
                        "no-estimate",
                        Kind.ABLATION,
                        () -> DispatchPolicy.standard().withEstimate(OutputEstimate.Disabled.INSTANCE)),
                of(
                        "no-prefix-memory",
                        Kind.ABLATION,
                        () -> DispatchPolicy.standard()
                                .withRouting(new PredictedFirstToken(PrefixAffinity.Disabled.INSTANCE))),
                of(
                        "no-ejection",
                        Kind.ABLATION,
                        () -> DispatchPolicy.standard()
                                .withTable(new BackendTable(
                                        SlotDivision.DemandShare.INSTANCE, OutlierDetection.DISABLED))),
                admission(
                        "no-forecast",
                        Kind.ABLATION,
                        AdmissionPolicy.standard().withWaitLimit(WaitLimit.Disabled.INSTANCE)),
                admission(
                        "forecast-to-deadline",
                        Kind.ABLATION,
                        AdmissionPolicy.standard().withWaitLimit(WaitLimit.Deadline.INSTANCE)),
                admission(
                        "customers-in-arrival-order",
                        Kind.ABLATION,
                        AdmissionPolicy.standard().withCustomerQueues(CustomerQueues.FirstInFirstOut::new)),
                admission(
                        "shares-not-deferred",
                        Kind.ABLATION,
                        AdmissionPolicy.standard().withShares(GuaranteedSharePolicy.Strict.INSTANCE)));
    }

    private static PolicyVariant of(String name, Kind kind, Supplier<DispatchPolicy> decisions) {
        return new PolicyVariant(name, kind, EXCHANGE_MILLIS, decisions);
    }

    /** Creates a baseline that differs in its routing. */
    private static PolicyVariant routing(String name, Supplier<RoutingPolicy> routing) {
        return of(name, Kind.BASELINE, () -> DispatchPolicy.standard().withRouting(routing.get()));
    }

    private static PolicyVariant admission(String name, Kind kind, AdmissionPolicy policy) {
        return of(name, kind, () -> DispatchPolicy.standard().withQueue(new TieredAdmissionQueue(policy)));
    }

    private static PolicyVariant division(String name, Kind kind, SlotDivision division, long exchangeMillis) {
        return new PolicyVariant(
                name,
                kind,
                exchangeMillis,
                () -> DispatchPolicy.standard().withTable(new BackendTable(division, OutlierDetection.PEERS)));
    }

    /** The role of a variant in the comparison. */
    enum Kind {
        /** The policy of this project. */
        OURS,
        /** A policy in common use elsewhere. */
        BASELINE,
        /** Our policy with one mechanism disabled or replaced. */
        ABLATION
    }
}
