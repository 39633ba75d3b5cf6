package org.cranberrygauge.decision.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides which backend server runs a request.
 *
 * <p>Implementations are not thread-safe unless stated otherwise; callers serialize access.
 */
public interface RoutingPolicy {

    /**
     * Chooses a backend server for a request.
     *
     * @param candidates The backend servers that can take the request.
     * @return The choice, or empty if there is no candidate.
     */
    Optional<BackendView> choose(long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random);

    /** Returns a random candidate; there must be at least one. */
    private static BackendView randomCandidate(Candidates candidates, RandomGenerator random) {
        return candidates.get(random.nextInt(candidates.size()));
    }

    /** Returns the requests in flight of a candidate relative to its slots. */
    private static double relativeLoad(BackendView view) {
        return (double) view.inFlight() / view.server().slots();
    }

    /**
     * Chooses the candidate with the fewest requests in flight relative to its slots. A baseline for comparison.
     *
     * <p>Stateless and thread-safe.
     */
    enum LeastInFlight implements RoutingPolicy {
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
     * Chooses the less loaded of two random candidates. A baseline for comparison.
     *
     * <p>Stateless and thread-safe.
     */
    enum TwoChoices implements RoutingPolicy {
        INSTANCE;

        @Override
        public Optional<BackendView> choose(
                long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random) {
            if (candidates.size() == 0) {
                return Optional.empty();
            }
            BackendView first = randomCandidate(candidates, random);
            BackendView second = randomCandidate(candidates, random);
            return Optional.of(relativeLoad(second) < relativeLoad(first) ? second : first);
        }
    }

    /**
     * Chooses a random candidate. A baseline for comparison.
     *
     * <p>Stateless and thread-safe.
     */
    enum Uniform implements RoutingPolicy {
        INSTANCE;

        @Override
        public Optional<BackendView> choose(
                long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random) {
            return candidates.size() == 0 ? Optional.empty() : Optional.of(randomCandidate(candidates, random));
        }
    }

    /** Chooses the candidates in turn. A baseline for comparison. */
    final class RoundRobin implements RoutingPolicy {

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
