package org.cranberrygauge.decision.preemption;

import java.util.Optional;

/**
 * Decides which running request is preempted for a waiting request of a higher tier.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface PreemptionPolicy {

    /**
     * Selects a request to stop, which is resumed later.
     *
     * @param waitingTier The tier of the waiting request; 0 is the highest.
     * @param targetMillis The first-token target of the waiting request in milliseconds.
     * @param running The requests running on the same target.
     * @return The request to stop, or empty if none should be stopped.
     */
    Optional<RunningRequest> victim(
            long nowMillis, int waitingTier, long waitedMillis, long targetMillis, Iterable<RunningRequest> running);

    /**
     * Returns whether a running request can still be preempted, now or after some progress.
     *
     * @param waitingTier The tier of the waiting request; 0 is the highest.
     */
    boolean mayPreempt(int waitingTier, RunningRequest running);

    /**
     * Preempts a request of the lowest tier that can be resumed elsewhere and has made progress since it last started.
     */
    enum LowestTierFirst implements PreemptionPolicy {
        INSTANCE;

        /** The minimum progress between two preemptions of one request, in milliseconds. */
        private static final long MINIMUM_PROGRESS_MILLIS = 1_000;

        /** The number of times that one request may be preempted. */
        private static final int PREEMPTION_LIMIT = 3;

        /** The fraction of its first-token target that a request waits before another one is preempted for it. */
        private static final double MINIMUM_WAIT_FRACTION = 0.1;

        @Override
        public Optional<RunningRequest> victim(
                long nowMillis,
                int waitingTier,
                long waitedMillis,
                long targetMillis,
                Iterable<RunningRequest> running) {
            if (waitedMillis < MINIMUM_WAIT_FRACTION * targetMillis) {
                return Optional.empty();
            }
            RunningRequest best = null;
            for (RunningRequest request : running) {
                boolean eligible = mayPreempt(waitingTier, request)
                        && nowMillis - request.startedAtMillis() >= MINIMUM_PROGRESS_MILLIS;
                if (eligible && (best == null || isPreemptedBefore(request, best))) {
                    best = request;
                }
            }
            return Optional.ofNullable(best);
        }

        @Override
        public boolean mayPreempt(int waitingTier, RunningRequest running) {
            return running.tier() > waitingTier && running.preemptions() < PREEMPTION_LIMIT;
        }

        /**
         * Returns whether a request is preempted before another one: lower tiers first, then the most recently started.
         */
        private static boolean isPreemptedBefore(RunningRequest request, RunningRequest other) {
            if (request.tier() != other.tier()) {
                return request.tier() > other.tier();
            }
            return request.startedAtMillis() > other.startedAtMillis();
        }
    }

    /** Preempts nothing. */
    enum Disabled implements PreemptionPolicy {
        INSTANCE;

        @Override
        public Optional<RunningRequest> victim(
                long nowMillis,
                int waitingTier,
                long waitedMillis,
                long targetMillis,
                Iterable<RunningRequest> running) {
            return Optional.empty();
        }

        @Override
        public boolean mayPreempt(int waitingTier, RunningRequest running) {
            return false;
        }
    }

    /**
     * A running request that can be resumed elsewhere.
     *
     * @param tier The tier of the request's class.
     * @param startedAtMillis The monotonic time of the last start in milliseconds.
     * @param preemptions The number of times that the request was preempted.
     */
    record RunningRequest(long requestId, int tier, long startedAtMillis, int preemptions) {}
}
