package org.cranberrygauge.proxy.exchange;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.decision.engine.EngineProfile;
import org.cranberrygauge.decision.engine.PrefillTokens;
import org.cranberrygauge.decision.hostload.OtherHosts;
import org.cranberrygauge.decision.stop.PlannedStop;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.retry.BudgetShare;
import org.cranberrygauge.proxy.routing.PeerLoads;
import org.cranberrygauge.proxy.stream.StreamOrigin;

/**
 * The blackboard of the host, which controllers write and the request path reads. Each value is immutable and replaced
 * as a whole. Thread-safe.
 */
public final class ProxyBlackboard {

    private final AtomicReference<ConfigurationView> configuration = new AtomicReference<>(ConfigurationView.NONE);

    private final AtomicReference<BackendSnapshot> backends = new AtomicReference<>(BackendSnapshot.UNKNOWN);

    /** The data centres whose backend servers get no requests by the operator's order. */
    private final AtomicReference<Set<String>> evacuated = new AtomicReference<>(Set.of());

    /** The origins at which streams may begin. */
    private final AtomicReference<Set<StreamOrigin>> streamOrigins = new AtomicReference<>(Set.of());

    /** The load caused by the other hosts. */
    private final AtomicReference<PeerLoads> peers = new AtomicReference<>(PeerLoads.NO_PEERS);

    /** What this host knows of its part of the retry budgets. */
    private final AtomicReference<BudgetShare> budgetShare = new AtomicReference<>(BudgetShare.UNKNOWN);

    /** The other hosts that reach backend servers. */
    private final AtomicReference<List<ForwardingTarget>> forwardingTargets = new AtomicReference<>(List.of());

    /** The speed of engines by pool, as this host's own requests show it. */
    private final AtomicReference<Map<String, EngineProfile>> engineProfiles = new AtomicReference<>(Map.of());

    /** The recent prefill work that this host caused, by pool. */
    private final AtomicReference<Map<String, PrefillTokens>> prefill = new AtomicReference<>(Map.of());

    /** The time of backend servers relative to their pool in percent, as this host's own requests show it. */
    private final AtomicReference<Map<String, Integer>> serverSpeedPercent = new AtomicReference<>(Map.of());

    /** The smoothed delay of the event loop of requests in milliseconds, which the request path writes. */
    private final AtomicReference<OptionalInt> loopDelay = new AtomicReference<>(OptionalInt.empty());

    /** The load of the other hosts' processors. */
    private final AtomicReference<OtherHosts> otherHosts = new AtomicReference<>(OtherHosts.NONE);

    /** What this host still begins. */
    private final AtomicReference<PlannedStop> stop = new AtomicReference<>(PlannedStop.NONE);

    public ConfigurationView configuration() {
        return configuration.get();
    }

    public void publish(ConfigurationView view) {
        configuration.set(view);
    }

    public BackendSnapshot backends() {
        return backends.get();
    }

    /** Publishes the listed backend servers; those in evacuated data centres accept no new requests. */
    public synchronized void publish(BackendSnapshot snapshot) {
        backends.set(snapshot.withEvacuated(evacuated.get()));
    }

    /** Returns the data centres whose backend servers get no requests by the operator's order. */
    public Set<String> evacuated() {
        return evacuated.get();
    }

    /** Publishes the evacuated data centres, which takes effect at once. */
    public synchronized void publishEvacuated(Set<String> dataCentres) {
        evacuated.set(Set.copyOf(dataCentres));
        backends.set(backends.get().withEvacuated(evacuated.get()));
    }

    /** Tells whether a stream that callers may resume may begin at a backend server. */
    public boolean mayBeginStream(Backend backend) {
        return streamOrigins.get().contains(StreamOrigin.of(backend));
    }

    /** Publishes the origins at which streams may begin. */
    public void publishStreamOrigins(Set<StreamOrigin> origins) {
        streamOrigins.set(Set.copyOf(origins));
    }

    public PeerLoads peers() {
        return peers.get();
    }

    public void publish(PeerLoads loads) {
        peers.set(loads);
    }

    /** Returns what this host knows of its part of the retry budgets. */
    public BudgetShare budgetShare() {
        return budgetShare.get();
    }

    public void publish(BudgetShare share) {
        budgetShare.set(share);
    }

    /** Returns the other hosts that reach backend servers. */
    public List<ForwardingTarget> forwardingTargets() {
        return forwardingTargets.get();
    }

    public void publishForwardingTargets(List<ForwardingTarget> targets) {
        forwardingTargets.set(List.copyOf(targets));
    }

    /** Returns the speed of a pool's engines. */
    public EngineProfile engineProfile(String pool) {
        return engineProfiles.get().getOrDefault(pool, EngineProfile.INITIAL);
    }

    public void publish(Map<String, EngineProfile> profiles) {
        engineProfiles.set(profiles);
    }

    /** Returns the recent prefill work that this host caused, by pool. */
    public Map<String, PrefillTokens> prefill() {
        return prefill.get();
    }

    public void publishPrefill(Map<String, PrefillTokens> tokensByPool) {
        prefill.set(Map.copyOf(tokensByPool));
    }

    /** Returns this host's own ratios of backend servers by incarnation, for its report to the other hosts. */
    public Map<String, Integer> serverSpeedPercent() {
        return serverSpeedPercent.get();
    }

    public void publishServerSpeeds(Map<String, Integer> percent) {
        serverSpeedPercent.set(Map.copyOf(percent));
    }

    /** Returns the smoothed delay of the event loop of requests in milliseconds, or empty if it is not known yet. */
    public OptionalInt loopDelay() {
        return loopDelay.get();
    }

    public void publishLoopDelay(OptionalInt delayMillis) {
        loopDelay.set(delayMillis);
    }

    /** Returns the load of the other hosts' processors. */
    public OtherHosts otherHosts() {
        return otherHosts.get();
    }

    public void publish(OtherHosts hosts) {
        otherHosts.set(hosts);
    }

    /** Returns what this host still begins, which each step that begins something asks. */
    public PlannedStop stop() {
        return stop.get();
    }

    /** Starts, or ends, a planned stop. */
    public void publish(PlannedStop planned) {
        stop.set(planned);
    }

    /** Tells whether the host has received its stop signal: it reports that it is not ready and closes connections after their response. */
    public boolean draining() {
        return stop().isSignalled();
    }
}
