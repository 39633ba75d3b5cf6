package org.cranberrygauge.decision.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Decides which backend server runs a request. */
public interface RoutingPolicy {

    /**
     * Chooses a backend server.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request.
     * @param candidates The backend servers that serve the target and have a free slot.
     * @param random The source of randomness.
     * @return The choice, or nothing if there is no candidate.
     */
    Optional<BackendView> choose(
            long nowMillis, RoutingRequest request, List<BackendView> candidates, RandomGenerator random);

    /**
     * Chooses the backend server with the fewest requests in flight for its slots.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum LeastInFlight implements RoutingPolicy {
        /** The only instance. */
        INSTANCE;

        @Override
        public Optional<BackendView> choose(
                long nowMillis, RoutingRequest request, List<BackendView> candidates, RandomGenerator random) {
            return candidates.stream()
                    .min(Comparator.comparingDouble(
                            view -> (double) view.inFlight() / view.server().slots()));
        }
    }
}
