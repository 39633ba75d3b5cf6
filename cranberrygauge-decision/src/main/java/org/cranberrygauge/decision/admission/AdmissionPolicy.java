package org.cranberrygauge.decision.admission;

import java.util.function.Supplier;

/**
 * The rules of a tiered queue.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param shares Decides whether a class starts before higher tiers.
 * @param lines Creates the lines of a class.
 * @param waitLimit Decides up to which forecast wait a request is taken in.
 */
public record AdmissionPolicy(GuaranteedSharePolicy shares, Supplier<CustomerQueues> lines, WaitLimit waitLimit) {

    /** The rules that gateways use. */
    private static final AdmissionPolicy STANDARD = new AdmissionPolicy(
            GuaranteedSharePolicy.Deferring.INSTANCE, WeightedFairQueues::new, WaitLimit.Target.INSTANCE);

    /**
     * Returns the rules that gateways use.
     *
     * @return The rules.
     */
    public static AdmissionPolicy standard() {
        return STANDARD;
    }

    /**
     * Replaces the rule of shares.
     *
     * @param replacement The rule.
     * @return The refined rules.
     */
    public AdmissionPolicy withShares(GuaranteedSharePolicy replacement) {
        return new AdmissionPolicy(replacement, lines, waitLimit);
    }

    /**
     * Replaces the order of customers.
     *
     * @param replacement Creates the lines of a class.
     * @return The refined rules.
     */
    public AdmissionPolicy withLines(Supplier<CustomerQueues> replacement) {
        return new AdmissionPolicy(shares, replacement, waitLimit);
    }

    /**
     * Replaces the limit of the forecast wait.
     *
     * @param replacement The limit.
     * @return The refined rules.
     */
    public AdmissionPolicy withWaitLimit(WaitLimit replacement) {
        return new AdmissionPolicy(shares, lines, replacement);
    }
}
