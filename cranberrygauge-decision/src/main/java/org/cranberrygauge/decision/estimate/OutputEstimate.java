package org.cranberrygauge.decision.estimate;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the length of answers.
 *
 * <p>Implementations are used by one thread at a time.
 */
public interface OutputEstimate {

    /**
     * Estimates the tokens that a request still generates.
     *
     * @param customer The customer.
     * @param className The class.
     * @param deliveredTokens The tokens generated so far.
     * @param limitTokens The most tokens that the request may generate.
     * @return The estimate in tokens, at least 1.
     */
    int remainingTokens(String customer, String className, int deliveredTokens, int limitTokens);

    /**
     * Learns from an answer.
     *
     * @param customer The customer.
     * @param className The class.
     * @param outputTokens Its length in tokens.
     */
    void observe(String customer, String className, int outputTokens);

    /** Estimates by the lengths of earlier answers of the same customer and class, of the class while there are few. */
    final class Quantile implements OutputEstimate {

        /** The answers after which a customer's own lengths count. */
        private static final int CUSTOMER_SAMPLES = 20;

        /** The answers after which a class's lengths count. */
        private static final int CLASS_SAMPLES = 5;

        /** The quantile that is estimated. */
        private final double quantile;

        /** The lengths by customer and class. */
        private final Map<CustomerClass, LengthHistogram> byCustomer = new HashMap<>();

        /** The lengths by class. */
        private final Map<String, LengthHistogram> byClass = new HashMap<>();

        /**
         * Creates an estimate.
         *
         * @param quantile The quantile that is estimated, from 0 to 1.
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

        /**
         * A customer's use of a class.
         *
         * @param customer The customer.
         * @param className The class.
         */
        private record CustomerClass(String customer, String className) {}
    }

    /** Takes each answer for as long as the request allows. */
    enum Disabled implements OutputEstimate {
        /** The only instance. */
        INSTANCE;

        @Override
        public int remainingTokens(String customer, String className, int deliveredTokens, int limitTokens) {
            return Math.max(1, limitTokens - deliveredTokens);
        }

        @Override
        public void observe(String customer, String className, int outputTokens) {
            // Nothing is learnt.
        }
    }
}
