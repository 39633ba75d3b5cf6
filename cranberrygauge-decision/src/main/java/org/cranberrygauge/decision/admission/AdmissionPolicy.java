package org.cranberrygauge.decision.admission;

import java.util.function.Supplier;

/**
 * The policies that a {@link TieredAdmissionQueue} is composed of.
 *
 * <p>Immutable and thread-safe.
 *
 * @param shares Decides when a class may start ahead of higher tiers.
 * @param customerQueues Creates the queues that schedule the customers of a class.
 * @param waitLimit Bounds the predicted wait with which a request is admitted.
 */
public record AdmissionPolicy(
        GuaranteedSharePolicy shares, Supplier<CustomerQueues> customerQueues, WaitLimit waitLimit) {

    /** The policies used by gateways. */
    private static final AdmissionPolicy STANDARD = new AdmissionPolicy(
            GuaranteedSharePolicy.Deferring.INSTANCE, WeightedFairQueues::new, WaitLimit.Target.INSTANCE);

    /** Returns the policies used by gateways. */
    public static AdmissionPolicy standard() {
        return STANDARD;
    }

    /** Returns a copy with another guaranteed-share policy. */
    public AdmissionPolicy withShares(GuaranteedSharePolicy replacement) {
        return new AdmissionPolicy(replacement, customerQueues, waitLimit);
    }

    /**
     * Returns a copy with another scheduling order among customers.
     *
     * @param replacement Creates the customer queues of a class.
     */
    public AdmissionPolicy withCustomerQueues(Supplier<CustomerQueues> replacement) {
        return new AdmissionPolicy(shares, replacement, waitLimit);
    }

    /** Returns a copy with another limit on the predicted wait. */
    public AdmissionPolicy withWaitLimit(WaitLimit replacement) {
        return new AdmissionPolicy(shares, customerQueues, replacement);
    }
}
