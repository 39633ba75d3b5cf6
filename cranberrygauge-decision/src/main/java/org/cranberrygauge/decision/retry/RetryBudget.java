package org.cranberrygauge.decision.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Decides whether a failed request may be tried again.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface RetryBudget {

    /** Notes a request that succeeded, which earns a part of a retry. */
    void succeeded();

    /**
     * Takes one retry from the budget.
     *
     * @return Whether the request may be tried again.
     */
    boolean tryRetry();

    /** Allows retries up to a share of the successes. */
    final class Share implements RetryBudget {

        /** The number of parts that make one retry. */
        private static final long PARTS_PER_RETRY = 1_000;

        /** The parts that each success earns. */
        private final long partsPerSuccess;

        /** The most parts that can be saved. */
        private final long limitParts;

        /** The parts that are saved. */
        private final AtomicLong parts;

        /**
         * Creates a budget.
         *
         * @param share The share of successes that may be retried, from 0 to 1.
         * @param burst The number of retries that can be saved, and that are there at the start.
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
        /** The only instance. */
        INSTANCE;

        @Override
        public void succeeded() {
            // Nothing is earned.
        }

        @Override
        public boolean tryRetry() {
            return false;
        }
    }
}
