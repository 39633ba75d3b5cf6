package org.cranberrygauge.proxy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.cranberrygauge.decision.capacity.ConcurrencyLimit;
import org.cranberrygauge.decision.capacity.ServerCapacity;
import org.cranberrygauge.decision.engine.EngineProfile;
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
 * after failures are chosen only if all others are, too. Predicted times are multiplied by the ratio of each server's
 * time to that of its pool, and a server of a plain service at its concurrency limit is chosen only if all others are,
 * too. Not thread-safe.
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

    /**
     * The cost of an engine whose KV cache the request would exceed together with the work of all hosts. It exceeds all
     * other costs but that of a cool-down, so that such an engine is chosen only if no other one has room.
     */
    private static final double EXCEEDED_CACHE_PENALTY_MILLIS = 1e6;

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

    /**
     * The cost of a backend server of a plain service at its concurrency limit, which exceeds all other costs except
     * that of a cool-down.
     */
    private static final double LIMIT_PENALTY_MILLIS = 1e5;

    /** The cost of a backend server in cool-down, which exceeds all other costs together. */
    private static final double COOLDOWN_PENALTY_MILLIS = 1e7;

    private final String dataCentre;

    /** The load caused by this host's own requests. */
    private final LoadTable loads;

    private final EngineProfiles profiles;

    private final ServerCapacity capacity;

    private final RandomGenerator random;

    private final Map<String, EngineRanks> ranksByPool = new HashMap<>();

    /** @param capacity The measured speed and concurrency limits of backend servers. */
    public BackendChooser(
            String dataCentre,
            LoadTable loads,
            EngineProfiles profiles,
            ServerCapacity capacity,
            RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.loads = loads;
        this.profiles = profiles;
        this.capacity = capacity;
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
        capacity.speed().setReported(peers.speedRatios());
        ToDoubleFunction<Backend> cost = pool.engine().isPresent()
                ? engineCosts(nowMillis, pool, ready, prompt, peers)
                : backend -> serviceCost(nowMillis, backend, peers);
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
        return best == null ? Optional.empty() : Optional.of(choice(nowMillis, pool, best, bestCost, prompt, peers));
    }

    private Choice choice(long nowMillis, Pool pool, Backend best, double bestCost, Prompt prompt, PeerLoads peers) {
        if (pool.engine().isPresent()) {
            return new Choice(best, bestCost, isSaturated(nowMillis, pool, best, prompt, peers), false);
        }
        int running = serviceWork(best, peers).running();
        ConcurrencyLimit limit = capacity.limit(best.incarnation(), best.slots());
        return new Choice(best, bestCost, running >= limit.limit(), limit.isFull(nowMillis, running));
    }

    /**
     * Tells whether a request would exceed an engine's KV cache together with the work of all hosts, although it fits
     * into an empty one. An engine crashes if its requests exceed its memory. A request that fits into no engine's cache
     * can't wait for room, and is left to the engine to accept or reject.
     */
    private static boolean exceedsMemory(Pool pool, BackendLoad load, Work work, Prompt prompt) {
        long needed = load.uncachedTokens(prompt) + prompt.outputTokens();
        return needed <= pool.memoryTokens() && work.heldTokens() + needed > pool.memoryTokens();
    }

    /**
     * Tells whether an engine has no room in its KV cache, or no capacity for another long prompt. An engine that spends most of its time on
     * prefill decodes so slowly that no request finishes before its deadline; the prompts of the running requests tell
     * how much of its time that is.
     */
    private boolean isSaturated(long nowMillis, Pool pool, Backend backend, Prompt prompt, PeerLoads peers) {
        if (pool.engine().isEmpty()) {
            return false;
        }
        BackendLoad load = load(pool, backend);
        Work work = load.work().plus(peers.at(backend.incarnation()));
        if (exceedsMemory(pool, load, work, prompt)) {
            return true;
        }
        if (EnginePartition.isShort(prompt)) {
            return false;
        }
        return work.heldTokens() > 0
                && work.heldTokens() + load.uncachedTokens(prompt) > capacityTokens(nowMillis, pool, backend);
    }

    /**
     * Tells whether an engine has capacity for another long prompt if the prompt's size does not count.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param peers The load caused by the other hosts.
     */
    public boolean hasCapacity(long nowMillis, Pool pool, Backend backend, PeerLoads peers) {
        Work work = load(pool, backend).work().plus(peers.at(backend.incarnation()));
        return pool.engine().isPresent() && work.heldTokens() <= capacityTokens(nowMillis, pool, backend);
    }

    private double capacityTokens(long nowMillis, Pool pool, Backend backend) {
        return profiles.of(pool.name()).sustainableTokens() * SATURATION_FACTOR / speedRatio(nowMillis, backend);
    }

    /** Returns the cost function for engines. */
    private ToDoubleFunction<Backend> engineCosts(
            long nowMillis, Pool pool, List<Backend> ready, Prompt prompt, PeerLoads peers) {
        EngineRanks ranks = ranksByPool.computeIfAbsent(pool.name(), name -> new EngineRanks());
        ranks.update(ready, profiles.shortEngineFraction(pool.name(), peers));
        boolean shortPrompt = EnginePartition.isShort(prompt);
        return backend -> {
            int affinityRank = ranks.affinityRank(backend, prompt, shortPrompt);
            double cost = engineCost(
                    pool,
                    backend,
                    prompt,
                    peers,
                    affinityRank == EngineRanks.UNRANKED ? MAXIMUM_AFFINITY_RANK : affinityRank,
                    speedRatio(nowMillis, backend));
            boolean meant = ranks.isMeantFor(backend, shortPrompt);
            if (!shortPrompt) {
                return meant ? cost : cost + SHORT_PARTITION_PENALTY_MILLIS;
            }
            cost *= 1 + JITTER_FRACTION * random.nextDouble();
            return meant ? cost : cost + LONG_PARTITION_PENALTY_MILLIS;
        };
    }

    /**
     * Predicts the cost at an engine in milliseconds.
     *
     * @param affinityRank The rank of the engine for the prompt, from 0.
     * @param speedRatio The time that the engine takes, relative to its pool.
     */
    private double engineCost(
            Pool pool, Backend backend, Prompt prompt, PeerLoads peers, int affinityRank, double speedRatio) {
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
        // The overhead of the pool is the same for all engines, so that only the difference to it counts.
        cost = cost * speedRatio + profile.overheadMillis() * (speedRatio - 1);
        if (work.heldTokens() + uncached + prompt.outputTokens() > pool.memoryTokens() * USABLE_CACHE_FRACTION) {
            cost += FULL_CACHE_PENALTY_MILLIS;
        }
        if (exceedsMemory(pool, load, work, prompt)) {
            cost += EXCEEDED_CACHE_PENALTY_MILLIS;
        }
        return cost;
    }

    /**
     * Predicts the cost at a backend server of a plain service in milliseconds. The request itself counts only as far
     * as the server's speed differs from its pool, so that equal servers are compared by the requests before it.
     */
    private double serviceCost(long nowMillis, Backend backend, PeerLoads peers) {
        int running = serviceWork(backend, peers).running();
        double ratio = speedRatio(nowMillis, backend);
        double cost = FULL_UTILIZATION_MILLIS * (running * ratio + ratio - 1) / Math.max(1, backend.slots());
        boolean limited = running
                >= capacity.limit(backend.incarnation(), backend.slots()).limit();
        return limited ? cost + LIMIT_PENALTY_MILLIS : cost;
    }

    private Work serviceWork(Backend backend, PeerLoads peers) {
        return loads.of(backend.incarnation(), 0).work().plus(peers.at(backend.incarnation()));
    }

    private double speedRatio(long nowMillis, Backend backend) {
        return capacity.speed().ratio(nowMillis, backend.pool(), backend.incarnation());
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
     * @param saturated Whether it currently has no capacity for the request.
     * @param full Whether it has lately rejected requests at this load, so that even a request that can't wait any
     *     longer should not be sent.
     */
    public record Choice(Backend backend, double costMillis, boolean saturated, boolean full) {}
}
