package org.cranberrygauge.decision.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Decides whether a failed request may be retried.
 *
 * <p>Implementations are thread-safe.
 */
public interface RetryBudget {

    /** Records a successful request, which adds a fraction of a retry to the budget. */
    void succeeded();

    /**
     * Takes one retry from the budget.
     *
     * @return {@code true} if the request may be retried.
     */
    boolean tryRetry();

    /** A token bucket that allows retries up to a share of the successful requests. */
    final class Share implements RetryBudget {

        /** The number of parts that make up one retry. */
        private static final long PARTS_PER_RETRY = 1_000;

        /** The parts added by each success. */
        private final long partsPerSuccess;

        /** The maximum number of parts in the bucket. */
        private final long limitParts;

        /** The parts in the bucket. */
        private final AtomicLong parts;

        /**
         * Creates a full budget.
         *
         * @param share The share of successful requests that may be retried, from 0 to 1.
         * @param burst The maximum number of retries in the budget.
         */
        public Share(double share, int burst) {
            partsPerSuccess = Math.round(share * PARTS_PER_RETRY);
            limitParts = burst * PARTS_PER_RETRY;
            parts = new AtomicLong(limitParts);
        }

        @Override
        public void succeeded() {
            parts.updateAndGet(saved -> Math.min(limitParts, saved + partsPerSuccess));
        }

        @Override
        public boolean tryRetry() {
            long before = parts.getAndUpdate(saved -> saved >= PARTS_PER_RETRY ? saved - PARTS_PER_RETRY : saved);
            return before >= PARTS_PER_RETRY;
        }
    }

    /** Never allows a retry. */
    enum Disabled implements RetryBudget {
        INSTANCE;

        @Override
        public void succeeded() {
            // There is no budget to add to.
        }

        @Override
        public boolean tryRetry() {
            return false;
        }
    }
}
