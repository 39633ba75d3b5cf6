package org.cranberrygauge.decision.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides which backend server runs a request.
 *
 * <p>Implementations are used by one thread at a time unless they say otherwise.
 */
public interface RoutingPolicy {

    /**
     * Chooses a backend server.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request.
     * @param candidates The backend servers that serve the target and can take a request.
     * @param random The source of randomness.
     * @return The choice, or nothing if there is no candidate.
     */
    Optional<BackendView> choose(long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random);

    /**
     * Returns the view of a random candidate.
     *
     * @param candidates The candidates, at least one.
     * @param random The source of randomness.
     * @return The view.
     */
    private static BackendView any(Candidates candidates, RandomGenerator random) {
        return candidates.get(random.nextInt(candidates.size()));
    }

    /**
     * Returns the load of a candidate relative to its slots.
     *
     * @param view The candidate.
     * @return The relative load.
     */
    private static double relativeLoad(BackendView view) {
        return (double) view.inFlight() / view.server().slots();
    }

    /**
     * Chooses the backend server with the fewest requests in flight for its slots, among all: a baseline.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum LeastInFlight implements RoutingPolicy {
        /** The only instance. */
        INSTANCE;

        @Override
        public Optional<BackendView> choose(
                long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random) {
            BackendView best = null;
            for (int index = 0; index < candidates.size(); index++) {
                BackendView view = candidates.get(index);
                if (best == null || relativeLoad(view) < relativeLoad(best)) {
                    best = view;
                }
            }
            return Optional.ofNullable(best);
        }
    }

    /**
     * Chooses the less loaded of two random candidates: a baseline.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum TwoChoices implements RoutingPolicy {
        /** The only instance. */
        INSTANCE;

        @Override
        public Optional<BackendView> choose(
                long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random) {
            if (candidates.size() == 0) {
                return Optional.empty();
            }
            BackendView first = any(candidates, random);
            BackendView second = any(candidates, random);
            return Optional.of(relativeLoad(second) < relativeLoad(first) ? second : first);
        }
    }

    /**
     * Chooses at random: a baseline.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Uniform implements RoutingPolicy {
        /** The only instance. */
        INSTANCE;

        @Override
        public Optional<BackendView> choose(
                long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random) {
            return candidates.size() == 0 ? Optional.empty() : Optional.of(any(candidates, random));
        }
    }

    /** Chooses one after the other: a baseline. */
    final class RoundRobin implements RoutingPolicy {

        /** The number of choices so far. */
        private int choices;

        @Override
        public Optional<BackendView> choose(
                long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random) {
            if (candidates.size() == 0) {
                return Optional.empty();
            }
            choices++;
            return Optional.of(candidates.get(Math.floorMod(choices, candidates.size())));
        }
    }
}
