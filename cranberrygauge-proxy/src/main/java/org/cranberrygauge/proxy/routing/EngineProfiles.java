package org.cranberrygauge.proxy.routing;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.decision.engine.EngineEstimate;
import org.cranberrygauge.decision.engine.EngineProfile;
import org.cranberrygauge.decision.engine.EngineProfileEstimator;
import org.cranberrygauge.decision.engine.PrefillMix;
import org.cranberrygauge.decision.engine.PrefillRate;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;

/** Learns the profiles of engines by pool, from this host's own requests. Not thread-safe. */
public final class EngineProfiles {

    private final Map<String, EngineProfileEstimator> estimators = new HashMap<>();

    private final Map<String, PrefillMix> mixes = new HashMap<>();

    private final Map<String, PrefillRate> rates = new HashMap<>();

    public EngineProfile of(String pool) {
        EngineProfileEstimator estimator = estimators.get(pool);
        return estimator == null ? EngineProfile.INITIAL : estimator.profile();
    }

    /** Returns the fraction of a pool's engines, from 0 to 1, that requests with short prompts need for themselves. */
    double shortEngineFraction(String pool) {
        return mix(pool).shortEngineFraction();
    }

    /**
     * Records a request that is sent to an engine.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordSent(long nowMillis, String pool, Prompt prompt, long uncachedTokens) {
        mix(pool).record(EnginePartition.isShort(prompt), uncachedTokens);
        rates.computeIfAbsent(pool, name -> new PrefillRate()).record(nowMillis, uncachedTokens);
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

    /**
     * Returns the current estimates of the pools to which requests were sent.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public Map<String, EngineEstimate> snapshot(long nowMillis) {
        Map<String, EngineEstimate> estimates = new HashMap<>();
        rates.forEach((pool, rate) -> {
            EngineProfile profile = of(pool);
            estimates.put(pool, new EngineEstimate(profile, profile.enginesFor(rate.tokensPerMilli(nowMillis))));
        });
        return Map.copyOf(estimates);
    }

    private PrefillMix mix(String pool) {
        return mixes.computeIfAbsent(pool, name -> new PrefillMix());
    }

    private EngineProfileEstimator estimator(String pool) {
        return estimators.computeIfAbsent(pool, name -> new EngineProfileEstimator());
    }
}
