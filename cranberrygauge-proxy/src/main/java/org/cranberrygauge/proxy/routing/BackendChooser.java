package org.cranberrygauge.proxy.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.cranberrygauge.decision.engine.EngineProfile;
import org.cranberrygauge.decision.topology.RendezvousHash;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * Chooses the backend server with the lowest predicted cost.
 *
 * <p>For an engine, the cost estimates the time to the first token: pending prefill work, the uncached part of this
 * prompt, the slowdown by running requests, and queueing where slots or KV-cache memory are short. Rendezvous hashing
 * of the shared prompt prefix gives all hosts the same ranking of engines without coordination; a request leaves the
 * first-ranked engine once that engine's load outweighs the prefill that its cache saves. Backend servers in cool-down
 * after failures are chosen only if all others are, too. Not thread-safe.
 */
public final class BackendChooser {

    /** The duration of a decode step of an idle engine; a step produces one token for each request. */
    private static final double DECODE_STEP_MILLIS = 5;

    /** The time that each running request adds to a decode step. */
    private static final double DECODE_STEP_MILLIS_PER_REQUEST = 0.15;

    /** The fraction of the sustainable tokens at which an engine spends half of its time on prefill. */
    private static final double HALF_PREFILL_FRACTION = 0.67;

    /** The multiple of the sustainable tokens above which an engine gets no more long prompts. */
    private static final double SATURATION_FACTOR = 2;

    /** The weight in the cost of the time between the tokens of a request. */
    private static final double DECODE_WEIGHT = 0.1;

    /** The weight in the cost of the time for which a long prompt delays each short request on the same engine. */
    private static final double PREFILL_INTERFERENCE_WEIGHT = 0.5;

    /** The cost for a short prompt of an engine reserved for long prompts. */
    private static final double LONG_PARTITION_PENALTY_MILLIS = 400;

    /**
     * The cost for a long prompt of an engine reserved for short prompts, where it would delay all running requests.
     */
    private static final double SHORT_PARTITION_PENALTY_MILLIS = 5_000;

    /** The queueing time for each request beyond the slots. */
    private static final double QUEUE_MILLIS_PER_REQUEST = 120;

    /** The queueing time at an engine whose KV cache is full. */
    private static final double FULL_CACHE_PENALTY_MILLIS = 1_500;

    /** The fraction of the KV cache that requests in flight may fill. */
    private static final double USABLE_CACHE_FRACTION = 0.9;

    /** The factor on the uncached tokens at the engine that is ranked first for the prompt. */
    private static final double FIRST_AFFINITY_FACTOR = 0.4;

    /**
     * The maximum factor on shared tokens that an engine would have to process again. The factor is the engine's rank
     * for the prompt, so that only prompts in high demand spread over several engines.
     */
    private static final int MAXIMUM_AFFINITY_RANK = 10;

    /**
     * The random fraction added to the cost of short prompts, so that hosts with the same view of the load don't make
     * the same choice.
     */
    private static final double JITTER_FRACTION = 0.5;

    /** The cost of leaving the data centre. */
    private static final double REMOTE_DATA_CENTRE_PENALTY_MILLIS = 25;

    /** The cost of a backend server of a plain service with all slots in use; it is proportional to utilization. */
    private static final double FULL_UTILIZATION_MILLIS = 200;

    /** The cost of a backend server whose requests all fail; it is proportional to the failure rate. */
    private static final double FAILURE_PENALTY_MILLIS = 4_000;

    /** The cost of a backend server in cool-down, which exceeds all other costs together. */
    private static final double COOLDOWN_PENALTY_MILLIS = 1e7;

    private final String dataCentre;

    /** The load caused by this host's own requests. */
    private final LoadTable loads;

    private final EngineProfiles profiles;

    private final RandomGenerator random;

    public BackendChooser(String dataCentre, LoadTable loads, EngineProfiles profiles, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.loads = loads;
        this.profiles = profiles;
        this.random = random;
    }

    /**
     * Chooses a backend server for an attempt.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param ready The backend servers of the pool that accept new requests.
     * @param eligible Tells which of them this request may be sent to.
     * @param peers The load caused by the other hosts.
     * @return The choice, or empty if no backend server is left.
     */
    public Optional<Choice> choose(
            long nowMillis,
            Pool pool,
            List<Backend> ready,
            Predicate<Backend> eligible,
            Prompt prompt,
            PeerLoads peers) {
        ToDoubleFunction<Backend> cost = pool.engine().isPresent()
                ? engineCosts(pool, ready, prompt, peers)
                : backend -> serviceCost(backend, peers);
        Backend best = null;
        double bestCost = Double.MAX_VALUE;
        for (Backend backend : ready) {
            if (!eligible.test(backend)) {
                continue;
            }
            double total = cost.applyAsDouble(backend) + commonCost(nowMillis, pool, backend);
            if (total < bestCost) {
                best = backend;
                bestCost = total;
            }
        }
        return best == null
                ? Optional.empty()
                : Optional.of(new Choice(best, bestCost, isSaturated(pool, best, prompt, peers)));
    }

    /**
     * Tells whether an engine has no capacity for another long prompt. An engine that spends most of its time on
     * prefill decodes so slowly that no request finishes before its deadline; the prompts of the running requests tell
     * how much of its time that is.
     */
    private boolean isSaturated(Pool pool, Backend backend, Prompt prompt, PeerLoads peers) {
        if (pool.engine().isEmpty() || EnginePartition.isShort(prompt)) {
            return false;
        }
        BackendLoad load = load(pool, backend);
        Work work = load.work().plus(peers.at(backend.incarnation()));
        return work.heldTokens() > 0 && work.heldTokens() + load.uncachedTokens(prompt) > capacityTokens(pool);
    }

    /**
     * Tells whether an engine has capacity for another long prompt if the prompt's size does not count.
     *
     * @param peers The load caused by the other hosts.
     */
    public boolean hasCapacity(Pool pool, Backend backend, PeerLoads peers) {
        Work work = load(pool, backend).work().plus(peers.at(backend.incarnation()));
        return pool.engine().isPresent() && work.heldTokens() <= capacityTokens(pool);
    }

    private double capacityTokens(Pool pool) {
        return profiles.of(pool.name()).sustainableTokens() * SATURATION_FACTOR;
    }

    /** Ranks the engines of a partition for a prompt; empty if the prompt shares no prefix. */
    private static List<Backend> affinityRanking(List<Backend> partition, Prompt prompt) {
        String key = prompt.affinityKey();
        return key.isEmpty() ? List.of() : RendezvousHash.ranked(key, partition, Backend::incarnation);
    }

    /** Returns the cost function for engines. */
    private ToDoubleFunction<Backend> engineCosts(Pool pool, List<Backend> ready, Prompt prompt, PeerLoads peers) {
        List<Backend> partition = EnginePartition.split(ready, profiles.shortEngineFraction(pool.name()))
                .of(prompt);
        List<Backend> affinityRanking = affinityRanking(partition, prompt);
        return backend -> {
            int affinityRank = affinityRanking.indexOf(backend);
            double cost =
                    engineCost(pool, backend, prompt, peers, affinityRank < 0 ? MAXIMUM_AFFINITY_RANK : affinityRank);
            if (!EnginePartition.isShort(prompt)) {
                return partition.contains(backend) ? cost : cost + SHORT_PARTITION_PENALTY_MILLIS;
            }
            cost *= 1 + JITTER_FRACTION * random.nextDouble();
            return partition.contains(backend) ? cost : cost + LONG_PARTITION_PENALTY_MILLIS;
        };
    }

    /**
     * Predicts the cost at an engine in milliseconds.
     *
     * @param affinityRank The rank of the engine for the prompt, from 0.
     */
    private double engineCost(Pool pool, Backend backend, Prompt prompt, PeerLoads peers, int affinityRank) {
        BackendLoad load = load(pool, backend);
        Work work = load.work().plus(peers.at(backend.incarnation()));
        double uncached = load.uncachedTokens(prompt) * (affinityRank == 0 ? FIRST_AFFINITY_FACTOR : 1);
        EngineProfile profile = profiles.of(pool.name());
        double prefillShare =
                work.heldTokens() / (work.heldTokens() + profile.sustainableTokens() * HALF_PREFILL_FRACTION);
        double step = DECODE_STEP_MILLIS
                + DECODE_STEP_MILLIS_PER_REQUEST * work.running()
                + profile.prefillMillis(EngineProfile.PREFILL_CHUNK_TOKENS) * prefillShare;
        double cost = profile.prefillMillis(work.unreadTokens() + uncached);
        cost += prompt.outputTokens() * step * DECODE_WEIGHT;
        cost += profile.prefillMillis(load.uncachedSharedTokens(prompt))
                * Math.min(MAXIMUM_AFFINITY_RANK, affinityRank);
        if (!EnginePartition.isShort(prompt)) {
            cost += work.shortRunning() * profile.prefillMillis(uncached) * PREFILL_INTERFERENCE_WEIGHT;
        }
        cost += Math.max(0, work.running() + 1 - backend.slots()) * QUEUE_MILLIS_PER_REQUEST;
        if (work.heldTokens() + uncached + prompt.outputTokens() > pool.memoryTokens() * USABLE_CACHE_FRACTION) {
            cost += FULL_CACHE_PENALTY_MILLIS;
        }
        return cost;
    }

    /** Predicts the cost at a backend server of a plain service in milliseconds. */
    private double serviceCost(Backend backend, PeerLoads peers) {
        Work work = loads.of(backend.incarnation(), 0).work().plus(peers.at(backend.incarnation()));
        return FULL_UTILIZATION_MILLIS * work.running() / Math.max(1, backend.slots());
    }

    /** Predicts the part of the cost that applies to all kinds of pools, in milliseconds. */
    private double commonCost(long nowMillis, Pool pool, Backend backend) {
        BackendLoad load = load(pool, backend);
        double cost = load.failureShare() * FAILURE_PENALTY_MILLIS;
        if (load.isCoolingDown(nowMillis)) {
            cost += COOLDOWN_PENALTY_MILLIS;
        }
        return backend.dataCentre().equals(dataCentre) ? cost : cost + REMOTE_DATA_CENTRE_PENALTY_MILLIS;
    }

    private BackendLoad load(Pool pool, Backend backend) {
        return loads.of(backend.incarnation(), pool.memoryTokens());
    }

    /**
     * A chosen backend server.
     *
     * @param costMillis The predicted cost in milliseconds.
     * @param saturated Whether it currently has no capacity for the prompt.
     */
    public record Choice(Backend backend, double costMillis, boolean saturated) {}
}
