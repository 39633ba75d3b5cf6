package org.cranberrygauge.decision.estimate;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the output length of requests.
 *
 * <p>Implementations are not thread-safe; callers serialize access.
 */
public interface OutputEstimate {

    /**
     * Estimates the tokens that a request has still to generate.
     *
     * @param deliveredTokens The number of tokens generated so far.
     * @param limitTokens The maximum number of tokens that the request may generate.
     * @return The estimate in tokens, at least 1.
     */
    int remainingTokens(String customer, String className, int deliveredTokens, int limitTokens);

    /**
     * Updates the estimate with a completed output.
     *
     * @param outputTokens Its length in tokens.
     */
    void observe(String customer, String className, int outputTokens);

    /**
     * Estimates by a quantile of earlier outputs of the same customer and class, or of the class while the customer has
     * few.
     */
    final class Quantile implements OutputEstimate {

        /** The number of outputs from which on a customer's own lengths are used. */
        private static final int CUSTOMER_SAMPLES = 20;

        /** The number of outputs from which on the lengths of a class are used. */
        private static final int CLASS_SAMPLES = 5;

        private final double quantile;

        private final Map<CustomerClass, LengthHistogram> byCustomer = new HashMap<>();

        private final Map<String, LengthHistogram> byClass = new HashMap<>();

        /**
         * Creates an estimate without samples.
         *
         * @param quantile The quantile to estimate, from 0 to 1.
         */
        public Quantile(double quantile) {
            this.quantile = quantile;
        }

        @Override
        public int remainingTokens(String customer, String className, int deliveredTokens, int limitTokens) {
            LengthHistogram lengths = byCustomer.get(new CustomerClass(customer, className));
            if (lengths == null || lengths.count() < CUSTOMER_SAMPLES) {
                lengths = byClass.get(className);
            }
            int left = Math.max(1, limitTokens - deliveredTokens);
            if (lengths == null || lengths.count() < CLASS_SAMPLES) {
                return left;
            }
            int length = lengths.quantileAbove(quantile, deliveredTokens);
            return Math.max(1, Math.min(left, length - deliveredTokens));
        }

        @Override
        public void observe(String customer, String className, int outputTokens) {
            byCustomer
                    .computeIfAbsent(new CustomerClass(customer, className), key -> new LengthHistogram())
                    .add(outputTokens);
            byClass.computeIfAbsent(className, key -> new LengthHistogram()).add(outputTokens);
        }

        /** The key of a histogram. */
        private record CustomerClass(String customer, String className) {}
    }

    /** Assumes that each output is as long as the request allows. */
    enum Disabled implements OutputEstimate {
        INSTANCE;

        @Override
        public int remainingTokens(String customer, String className, int deliveredTokens, int limitTokens) {
            return Math.max(1, limitTokens - deliveredTokens);
        }

        @Override
        public void observe(String customer, String className, int outputTokens) {
            // The estimate does not depend on earlier outputs.
        }
    }
}
