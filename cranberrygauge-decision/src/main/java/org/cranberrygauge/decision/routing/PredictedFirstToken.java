package org.cranberrygauge.decision.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the backend server with the lowest predicted time to the first few tokens.
 *
 * <p>Invariants: considers at most four candidates regardless of their number: two random ones, the one that last
 * processed the prompt's prefix, and the one that all gateways assign the prefix to. Not thread-safe; callers serialize
 * access.
 */
public final class PredictedFirstToken implements RoutingPolicy {

    /** The prefill time of one prompt token on an engine of ordinary speed, in milliseconds. */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.125;

    /** The time between tokens of a single request on an idle engine, in milliseconds. */
    private static final double TOKEN_INTERVAL_MILLIS = 10;

    /** The number of tokens after the first one that are included in the prediction. */
    private static final int FOLLOWING_TOKENS = 8;

    /** The fraction of a prompt that requests with the same prefix digest are assumed to share. */
    private static final double SHARED_PREFIX_FRACTION = 0.5;

    /** The age in milliseconds at which the hit probability of a remembered prefix has fallen to one half. */
    private static final double CACHE_HALF_LIFE_MILLIS = 30_000;

    /** The probability that a prefix is cached at its assigned server because other gateways sent it there. */
    private static final double ASSIGNED_HIT_PROBABILITY = 0.3;

    /** The wait for each request beyond the slots of a server, in milliseconds. */
    private static final double WAIT_MILLIS_PER_EXCESS_REQUEST = 200;

    private final PrefixAffinity affinity;

    public PredictedFirstToken(PrefixAffinity affinity) {
        this.affinity = affinity;
    }

    @Override
    public Optional<BackendView> choose(
            long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random) {
        if (candidates.size() == 0) {
            return Optional.empty();
        }
        BackendView best = candidates.get(random.nextInt(candidates.size()));
        double bestMillis = predictMillis(request, best, 0);
        BackendView second = candidates.get(random.nextInt(candidates.size()));
        double secondMillis = predictMillis(request, second, 0);
        if (secondMillis < bestMillis) {
            best = second;
            bestMillis = secondMillis;
        }
        if (request.prefixDigest().isEmpty() || affinity == PrefixAffinity.Disabled.INSTANCE) {
            return Optional.of(best);
        }
        PrefixAffinity.CachedPrefix cachedPrefix = affinity.find(request.prefixDigest());
        BackendView cached = cachedPrefix == null
                ? candidates.assigned(request.prefixDigest())
                : candidates.find(cachedPrefix.server());
        if (cached != null) {
            double hitProbability = cachedPrefix == null
                    ? ASSIGNED_HIT_PROBABILITY
                    : hitProbability(nowMillis - cachedPrefix.prefilledAtMillis());
            if (predictMillis(request, cached, hitProbability) < bestMillis) {
                best = cached;
            }
        }
        affinity.recordPrefill(nowMillis, request.prefixDigest(), best.server().name());
        return Optional.of(best);
    }

    /**
     * Returns the probability that a remembered prefix is still cached.
     *
     * @param ageMillis The time since the prefix was processed, in milliseconds.
     * @return The probability from 0 to 1.
     */
    private static double hitProbability(long ageMillis) {
        return Math.pow(2, -ageMillis / CACHE_HALF_LIFE_MILLIS);
    }

    /**
     * Predicts the time to the first tokens on a backend server.
     *
     * @param hitProbability The probability that the prefix is cached.
     */
    private static double predictMillis(RoutingRequest request, BackendView view, double hitProbability) {
        int slots = view.server().slots();
        double uncached = request.promptTokens() * (1 - SHARED_PREFIX_FRACTION * hitProbability);
        double prefill = uncached * PREFILL_MILLIS_PER_TOKEN;
        double interval = TOKEN_INTERVAL_MILLIS * (1 + Math.min(1, (double) view.inFlight() / slots));
        double wait = Math.max(0, view.inFlight() + 1.0 - slots) * WAIT_MILLIS_PER_EXCESS_REQUEST;
        return (prefill + interval * FOLLOWING_TOKENS + wait) * Math.max(1, view.slowness());
    }
}
