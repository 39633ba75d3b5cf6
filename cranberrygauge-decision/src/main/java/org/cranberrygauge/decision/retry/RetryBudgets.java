package org.cranberrygauge.decision.retry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Gives the retry budget that a request draws from.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface RetryBudgets {

    /**
     * Returns the budget of a customer in a class.
     *
     * @param customer The name of the customer.
     * @param className The name of the class.
     * @return The budget.
     */
    RetryBudget of(String customer, String className);

    /**
     * Gives each customer a budget of its own in each class, so that the failures of one use up no other's retries.
     *
     * <p>The number of budgets is bounded by the configuration: only configured customers and classes get here.
     */
    final class PerCustomer implements RetryBudgets {

        /** The budgets by owner. */
        private final Map<Owner, RetryBudget> budgets = new ConcurrentHashMap<>();

        /** Creates a budget. */
        private final Supplier<RetryBudget> factory;

        /**
         * Creates budgets.
         *
         * @param factory Creates a budget.
         */
        public PerCustomer(Supplier<RetryBudget> factory) {
            this.factory = factory;
        }

        @Override
        public RetryBudget of(String customer, String className) {
            return budgets.computeIfAbsent(new Owner(customer, className), owner -> factory.get());
        }

        /**
         * Who draws from a budget.
         *
         * @param customer The name of the customer.
         * @param className The name of the class.
         */
        private record Owner(String customer, String className) {}
    }

    /** Gives all requests one budget, which is the baseline. */
    final class Shared implements RetryBudgets {

        /** The budget. */
        private final RetryBudget budget;

        /**
         * Creates the baseline.
         *
         * @param budget The budget.
         */
        public Shared(RetryBudget budget) {
            this.budget = budget;
        }

        @Override
        public RetryBudget of(String customer, String className) {
            return budget;
        }
    }
}
