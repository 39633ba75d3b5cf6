package org.cranberrygauge.decision.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses by the predicted time to the first token, and to the tokens right after it.
 *
 * <p>Invariants: looks at no more than four candidates whatever their number: two random ones, the one that last read the
 * prompt's prefix, and the one that all gateways assign the prefix to. Used by one thread at a time.
 */
public final class PredictedFirstToken implements RoutingPolicy {

    /** The time to read one prompt token on an engine of ordinary speed in milliseconds. */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.125;

    /** The time between tokens of a lone request in milliseconds. */
    private static final double INTERVAL_MILLIS = 10;

    /** The number of tokens after the first that count. */
    private static final int FOLLOWING_TOKENS = 8;

    /** The part of a prompt that requests of one prefix share. */
    private static final double SHARED_PART = 0.5;

    /** The age at which a remembered prefix counts for half in milliseconds. */
    private static final double MEMORY_HALF_LIFE_MILLIS = 30_000;

    /** The trust in a prefix that other gateways may have sent to the server they assign it to. */
    private static final double HOME_TRUST = 0.3;

    /** The time that a request beyond the slots waits in milliseconds. */
    private static final double WAIT_MILLIS_PER_EXCESS = 200;

    /** Remembers where prefixes were read. */
    private final PrefixAffinity memory;

    /**
     * Creates a policy.
     *
     * @param memory Remembers where prefixes were read.
     */
    public PredictedFirstToken(PrefixAffinity memory) {
        this.memory = memory;
    }

    @Override
    public Optional<BackendView> choose(
            long nowMillis, RoutingRequest request, Candidates candidates, RandomGenerator random) {
        if (candidates.size() == 0) {
            return Optional.empty();
        }
        BackendView best = candidates.get(random.nextInt(candidates.size()));
        double bestMillis = predict(request, best, 0);
        BackendView second = candidates.get(random.nextInt(candidates.size()));
        double secondMillis = predict(request, second, 0);
        if (secondMillis < bestMillis) {
            best = second;
            bestMillis = secondMillis;
        }
        if (request.prefixDigest().isEmpty() || memory == PrefixAffinity.Disabled.INSTANCE) {
            return Optional.of(best);
        }
        PrefixAffinity.Reading reading = memory.find(request.prefixDigest());
        BackendView cached =
                reading == null ? candidates.home(request.prefixDigest()) : candidates.find(reading.server());
        if (cached != null) {
            double trust = reading == null ? HOME_TRUST : trust(nowMillis - reading.readAtMillis());
            if (predict(request, cached, trust) < bestMillis) {
                best = cached;
            }
        }
        memory.read(nowMillis, request.prefixDigest(), best.server().name());
        return Optional.of(best);
    }

    /**
     * Returns the trust in a remembered prefix.
     *
     * @param ageMillis The age of the memory in milliseconds.
     * @return The trust from 0 to 1.
     */
    private static double trust(long ageMillis) {
        return Math.pow(2, -ageMillis / MEMORY_HALF_LIFE_MILLIS);
    }

    /**
     * Predicts the time to the first tokens.
     *
     * @param request The request.
     * @param view The candidate.
     * @param cacheTrust The trust that the prefix is cached.
     * @return The time in milliseconds.
     */
    private static double predict(RoutingRequest request, BackendView view, double cacheTrust) {
        int slots = view.server().slots();
        double uncached = request.promptTokens() * (1 - SHARED_PART * cacheTrust);
        double prefill = uncached * PREFILL_MILLIS_PER_TOKEN;
        double interval = INTERVAL_MILLIS * (1 + Math.min(1, (double) view.inFlight() / slots));
        double wait = Math.max(0, view.inFlight() + 1.0 - slots) * WAIT_MILLIS_PER_EXCESS;
        return (prefill + interval * FOLLOWING_TOKENS + wait) * Math.max(1, view.slowness());
    }
}
