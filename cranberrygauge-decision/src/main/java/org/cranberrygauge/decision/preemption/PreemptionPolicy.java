package org.cranberrygauge.decision.preemption;

import java.util.Optional;

/**
 * Decides which running request gives way to a waiting one of a higher tier.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface PreemptionPolicy {

    /**
     * Chooses a request that stops and goes on later.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param waitingTier The tier of the waiting request; 0 is the highest.
     * @param waitedMillis The time that it has waited in milliseconds.
     * @param targetMillis The target for its first token in milliseconds.
     * @param running The requests that run for the same model.
     * @return The choice, or nothing if none shall stop.
     */
    Optional<RunningRequest> victim(
            long nowMillis, int waitingTier, long waitedMillis, long targetMillis, Iterable<RunningRequest> running);

    /**
     * Stops a request of the lowest tier that can go on elsewhere and that has made progress since it last started.
     */
    enum LowestTierFirst implements PreemptionPolicy {
        /** The only instance. */
        INSTANCE;

        /** The progress between two preemptions of one request in milliseconds. */
        private static final long MINIMUM_PROGRESS_MILLIS = 1_000;

        /** The number of times that one request is stopped at most. */
        private static final int PREEMPTION_LIMIT = 3;

        /** The part of the target that a request waits before another stops for it. */
        private static final double PATIENCE = 0.1;

        @Override
        public Optional<RunningRequest> victim(
                long nowMillis,
                int waitingTier,
                long waitedMillis,
                long targetMillis,
                Iterable<RunningRequest> running) {
            if (waitedMillis < PATIENCE * targetMillis) {
                return Optional.empty();
            }
            RunningRequest best = null;
            for (RunningRequest request : running) {
                boolean eligible = request.tier() > waitingTier
                        && request.preemptions() < PREEMPTION_LIMIT
                        && nowMillis - request.startedAtMillis() >= MINIMUM_PROGRESS_MILLIS;
                if (eligible && (best == null || givesWayBefore(request, best))) {
                    best = request;
                }
            }
            return Optional.ofNullable(best);
        }

        /**
         * Tells whether a request gives way before another.
         *
         * @param request The request.
         * @param other The other.
         * @return Whether it is of a lower tier, or of the same one and started later.
         */
        private static boolean givesWayBefore(RunningRequest request, RunningRequest other) {
            if (request.tier() != other.tier()) {
                return request.tier() > other.tier();
            }
            return request.startedAtMillis() > other.startedAtMillis();
        }
    }

    /** Stops nothing. */
    enum Disabled implements PreemptionPolicy {
        /** The only instance. */
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
    }

    /**
     * A request that runs and can go on elsewhere.
     *
     * @param requestId The identifier of the request.
     * @param tier The tier of its class.
     * @param startedAtMillis The monotonic time of its last start.
     * @param preemptions The number of times that it was stopped.
     */
    record RunningRequest(long requestId, int tier, long startedAtMillis, int preemptions) {}
}
