package org.cranberrygauge.proxy.routing;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.decision.engine.EngineProfile;
import org.cranberrygauge.decision.engine.EngineProfileEstimator;
import org.cranberrygauge.decision.engine.PrefillMix;
import org.cranberrygauge.decision.engine.PrefillTokens;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;

/** Learns the profiles of engines by pool, from this host's own requests. Not thread-safe. */
public final class EngineProfiles {

    private final Map<String, EngineProfileEstimator> estimators = new HashMap<>();

    private final Map<String, PrefillMix> mixes = new HashMap<>();

    /** Returns the profile of a pool, or the initial one before the first event of any of its requests. */
    public EngineProfile of(String pool) {
        EngineProfileEstimator estimator = estimators.get(pool);
        return estimator == null ? EngineProfile.INITIAL : estimator.profile();
    }

    /**
     * Returns the fraction of a pool's engines, from 0 to 1, that requests with short prompts need for themselves. It follows
     * from the requests of all hosts: hosts with different fractions would send chats and long prompts to the same engines.
     */
    double shortEngineFraction(String pool, PeerLoads peers) {
        return mix(pool).tokens().plus(peers.prefill(pool)).shortEngineFraction();
    }

    /** Records a request that is sent to an engine. */
    public void recordSent(String pool, Prompt prompt, long uncachedTokens) {
        mix(pool).record(EnginePartition.isShort(prompt), uncachedTokens);
    }

    /**
     * Records the first event of a request.
     *
     * @param millis The time since the request was sent in milliseconds.
     */
    public void recordFirstEvent(String pool, Placement placement, long millis) {
        estimator(pool).recordFirstEvent(placement.tokensToFirstEvent(), millis);
    }

    /**
     * Records the end of a stream that is complete.
     *
     * @param millis The time since the request was sent in milliseconds.
     */
    public void recordEnd(String pool, Placement placement, long millis) {
        estimator(pool).recordEnd(placement.heldTokens(), millis);
    }

    /** Returns the current profiles of the pools to which requests were sent. */
    public Map<String, EngineProfile> snapshot() {
        Map<String, EngineProfile> profiles = new HashMap<>();
        estimators.forEach((pool, estimator) -> profiles.put(pool, estimator.profile()));
        return Map.copyOf(profiles);
    }

    /** Returns the recent prefill work that this host caused, by pool. */
    public Map<String, PrefillTokens> prefill() {
        Map<String, PrefillTokens> tokens = new HashMap<>();
        mixes.forEach((pool, mix) -> tokens.put(pool, mix.tokens()));
        return Map.copyOf(tokens);
    }

    private PrefillMix mix(String pool) {
        return mixes.computeIfAbsent(pool, name -> new PrefillMix());
    }

    private EngineProfileEstimator estimator(String pool) {
        return estimators.computeIfAbsent(pool, name -> new EngineProfileEstimator());
    }
}
