package org.cranberrygauge.decision.retry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Provides the retry budget that a request draws from.
 *
 * <p>Implementations are thread-safe.
 */
public interface RetryBudgets {

    /** Returns the budget that requests of a customer in a class draw from. */
    RetryBudget of(String customer, String className);

    /**
     * Gives each customer a budget of its own in each class, so that the failures of one customer do not use up the
     * retries of another.
     *
     * <p>The number of budgets is bounded, because only configured customers and classes are looked up.
     */
    final class PerCustomer implements RetryBudgets {

        private final Map<BudgetKey, RetryBudget> budgets = new ConcurrentHashMap<>();

        private final Supplier<RetryBudget> factory;

        public PerCustomer(Supplier<RetryBudget> factory) {
            this.factory = factory;
        }

        @Override
        public RetryBudget of(String customer, String className) {
            return budgets.computeIfAbsent(new BudgetKey(customer, className), key -> factory.get());
        }

        /** Identifies a budget by customer and class. */
        private record BudgetKey(String customer, String className) {}
    }

    /** Gives all requests one shared budget. A baseline for comparison. */
    final class Shared implements RetryBudgets {

        private final RetryBudget budget;

        public Shared(RetryBudget budget) {
            this.budget = budget;
        }

        @Override
        public RetryBudget of(String customer, String className) {
            return budget;
        }
    }
}
