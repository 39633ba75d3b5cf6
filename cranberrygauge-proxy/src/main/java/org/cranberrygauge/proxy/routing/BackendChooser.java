package org.cranberrygauge.proxy.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.cranberrygauge.decision.topology.RendezvousHash;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * Chooses the backend server with the lowest predicted cost.
 *
 * <p>For an engine the cost is the time to the first event: the prompts that wait there, the part of this prompt that isn't
 * cached, the slowdown by requests that run, and the wait where slots or memory are short. Hosts agree on a home for each
 * shared prompt part without talking, and leave it once its load outweighs the reading it saves. Avoided backend servers are
 * chosen only if all others are. Used by one thread.
 */
public final class BackendChooser {

    /** The prompt tokens that an engine reads in a millisecond. */
    public static final double READ_TOKENS_PER_MILLI = 38;

    /** The time of a step of an idle engine, which makes one token of each request, in milliseconds. */
    private static final double STEP_MILLIS = 5;

    /** The time that each running request adds to a step, in milliseconds. */
    private static final double STEP_MILLIS_PER_RUNNING = 0.15;

    /** The time that reading prompts adds to a step of an engine that always reads, in milliseconds. */
    private static final double READING_STEP_MILLIS = 108;

    /** The prompt tokens of running requests at which an engine reads half of the time. */
    private static final double HALF_READING_TOKENS = 30_000;

    /** The prompt tokens of running requests above which an engine gets no more long prompts. */
    private static final double CROWDED_TOKENS = 90_000;

    /** The part of the time between the events of a request that counts as its cost. */
    private static final double OUTPUT_PART = 0.1;

    /** The part of the time for which a long prompt holds up each short request beside it that counts as its cost. */
    private static final double HOLD_UP_PART = 0.5;

    /** The cost of an engine for long prompts to a short one, in milliseconds. */
    private static final double LONG_LANE_MILLIS = 400;

    /** The cost of an engine for short prompts to a long one, which would hold up all that run there, in milliseconds. */
    private static final double SHORT_LANE_MILLIS = 5_000;

    /** The wait for each request beyond the slots, in milliseconds. */
    private static final double MILLIS_PER_QUEUED = 120;

    /** The wait at an engine whose memory is short, in milliseconds. */
    private static final double SHORT_MEMORY_MILLIS = 1_500;

    /** The part of the memory that requests in flight may fill. */
    private static final double MEMORY_PART = 0.9;

    /** The part of the uncached tokens that count at the home of the prompt. */
    private static final double HOME_PART = 0.4;

    /**
     * The highest number of times that shared tokens count which an engine would read again. They count once more for each
     * engine that comes before it among the homes of the prompt, so that only prompts in great demand spread.
     */
    private static final int MOST_TIMES_AGAIN = 10;

    /** The random part of the cost of short prompts, so that hosts with the same view of loads don't choose alike. */
    private static final double SPREAD_PART = 0.5;

    /** The cost of leaving the data centre, in milliseconds. */
    private static final double OTHER_DATA_CENTRE_MILLIS = 25;

    /** The cost of a plain service's backend server by the share of its places that are taken, in milliseconds. */
    private static final double FULL_SERVICE_MILLIS = 200;

    /** The cost of a backend server whose requests all fail, in milliseconds. */
    private static final double ALL_FAIL_MILLIS = 4_000;

    /** The cost of an avoided backend server, which exceeds all others, in milliseconds. */
    private static final double AVOIDED_MILLIS = 1e7;

    /** The data centre of this host. */
    private final String dataCentre;

    /** The loads by this host's own requests. */
    private final LoadTable loads;

    /** The source of randomness. */
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param dataCentre The data centre of this host.
     * @param loads The loads by this host's own requests.
     * @param random The source of randomness.
     */
    public BackendChooser(String dataCentre, LoadTable loads, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.loads = loads;
        this.random = random;
    }

    /**
     * Chooses a backend server.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param pool The pool.
     * @param ready The backend servers of the pool that take new work.
     * @param tried The incarnations that the request was sent to before.
     * @param prompt The prompt.
     * @param peers The work of the other hosts.
     * @return The choice, or nothing if there is none left.
     */
    public Optional<Choice> choose(
            long nowMillis, Pool pool, List<Backend> ready, Set<String> tried, Prompt prompt, PeerLoads peers) {
        ToDoubleFunction<Backend> cost = pool.engine().isPresent()
                ? engineCosts(pool, ready, prompt, peers)
                : backend -> serviceCost(backend, peers);
        Backend best = null;
        double bestCost = Double.MAX_VALUE;
        for (Backend backend : ready) {
            if (tried.contains(backend.incarnation())) {
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
                : Optional.of(new Choice(best, bestCost, isCrowded(pool, best, prompt, peers)));
    }

    /**
     * Tells whether an engine has no room for another long prompt.
     *
     * <p>An engine that reads most of the time makes tokens so slowly that no request ends within its time. The prompts of
     * the requests that run tell how much of the time it reads.
     *
     * @param pool The pool.
     * @param backend The engine.
     * @param prompt The prompt.
     * @param peers The work of the other hosts.
     * @return Whether it has no room.
     */
    private boolean isCrowded(Pool pool, Backend backend, Prompt prompt, PeerLoads peers) {
        if (pool.engine().isEmpty() || EnginePartition.isShort(prompt)) {
            return false;
        }
        BackendLoad load = load(pool, backend);
        Work work = load.work().plus(peers.at(backend.incarnation()));
        return work.heldTokens() > 0 && work.heldTokens() + load.uncachedTokens(prompt) > CROWDED_TOKENS;
    }

    /**
     * Ranks the homes of a prompt.
     *
     * @param lane The engines that are meant for it.
     * @param prompt The prompt.
     * @return The engines, the first home first; empty if the prompt shares nothing.
     */
    private static List<Backend> homes(List<Backend> lane, Prompt prompt) {
        String key = prompt.affinityKey();
        return key.isEmpty() ? List.of() : RendezvousHash.ranked(key, lane, Backend::incarnation);
    }

    /**
     * Returns what predicts the cost at each engine.
     *
     * @param pool The pool.
     * @param ready The engines that take new work.
     * @param prompt The prompt.
     * @param peers The work of the other hosts.
     * @return The prediction.
     */
    private ToDoubleFunction<Backend> engineCosts(Pool pool, List<Backend> ready, Prompt prompt, PeerLoads peers) {
        List<Backend> lane = EnginePartition.split(ready).of(prompt);
        List<Backend> homes = homes(lane, prompt);
        return backend -> {
            int home = homes.indexOf(backend);
            double cost = engineCost(pool, backend, prompt, peers, home < 0 ? MOST_TIMES_AGAIN : home);
            if (!EnginePartition.isShort(prompt)) {
                return lane.contains(backend) ? cost : cost + SHORT_LANE_MILLIS;
            }
            cost *= 1 + SPREAD_PART * random.nextDouble();
            return lane.contains(backend) ? cost : cost + LONG_LANE_MILLIS;
        };
    }

    /**
     * Predicts the cost at an engine.
     *
     * @param pool The pool.
     * @param backend The engine.
     * @param prompt The prompt.
     * @param peers The work of the other hosts.
     * @param home The place of the engine among the homes of the prompt, from 0.
     * @return The cost in milliseconds.
     */
    private double engineCost(Pool pool, Backend backend, Prompt prompt, PeerLoads peers, int home) {
        BackendLoad load = load(pool, backend);
        Work work = load.work().plus(peers.at(backend.incarnation()));
        double uncached = load.uncachedTokens(prompt) * (home == 0 ? HOME_PART : 1);
        double reading = work.heldTokens() / (work.heldTokens() + HALF_READING_TOKENS);
        double step = STEP_MILLIS + STEP_MILLIS_PER_RUNNING * work.running() + READING_STEP_MILLIS * reading;
        double cost = (work.unreadTokens() + uncached) / READ_TOKENS_PER_MILLI;
        cost += prompt.outputTokens() * step * OUTPUT_PART;
        cost += load.uncachedSharedTokens(prompt) / READ_TOKENS_PER_MILLI * Math.min(MOST_TIMES_AGAIN, home);
        if (!EnginePartition.isShort(prompt)) {
            cost += work.shortRunning() * uncached / READ_TOKENS_PER_MILLI * HOLD_UP_PART;
        }
        cost += Math.max(0, work.running() + 1 - backend.slots()) * MILLIS_PER_QUEUED;
        if (work.heldTokens() + uncached + prompt.outputTokens() > pool.memoryTokens() * MEMORY_PART) {
            cost += SHORT_MEMORY_MILLIS;
        }
        return cost;
    }

    /**
     * Predicts the cost at a backend server of a plain service.
     *
     * @param backend The backend server.
     * @param peers The work of the other hosts.
     * @return The cost in milliseconds.
     */
    private double serviceCost(Backend backend, PeerLoads peers) {
        Work work = loads.of(backend.incarnation(), 0).work().plus(peers.at(backend.incarnation()));
        return FULL_SERVICE_MILLIS * work.running() / Math.max(1, backend.slots());
    }

    /**
     * Predicts the cost that doesn't depend on the kind of pool.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param pool The pool.
     * @param backend The backend server.
     * @return The cost in milliseconds.
     */
    private double commonCost(long nowMillis, Pool pool, Backend backend) {
        BackendLoad load = load(pool, backend);
        double cost = load.failureShare() * ALL_FAIL_MILLIS;
        if (load.avoided(nowMillis)) {
            cost += AVOIDED_MILLIS;
        }
        return backend.dataCentre().equals(dataCentre) ? cost : cost + OTHER_DATA_CENTRE_MILLIS;
    }

    /**
     * Returns the load of a backend server.
     *
     * @param pool The pool.
     * @param backend The backend server.
     * @return The load.
     */
    private BackendLoad load(Pool pool, Backend backend) {
        return loads.of(backend.incarnation(), pool.memoryTokens());
    }

    /**
     * A chosen backend server.
     *
     * @param backend The backend server.
     * @param costMillis The predicted cost in milliseconds.
     * @param crowded Whether it has no room for the prompt at present.
     */
    public record Choice(Backend backend, double costMillis, boolean crowded) {}
}
