package org.cranberrygauge.verification.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cranberrygauge.emulator.engine.EngineSpeed;
import org.cranberrygauge.emulator.engine.PrefixCache;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * An engine, or the worker of a plain service, in memory, with the speed and the prefix cache of the stand-in.
 *
 * <p>Used by one thread.
 */
final class SimulatedEngine {

    /** The tokens that are generated in one step after the first. */
    private static final int TOKENS_PER_STEP = 4;

    /** The time of a call to a plain service in milliseconds. */
    private static final double SERVICE_MILLIS = 20;

    /** The time after which a failed attempt is noticed in milliseconds. */
    private static final double FAILURE_MILLIS = 5;

    /** The memory of the prefix cache in tokens. */
    private static final int CACHE_TOKENS = 20_000;

    /** The time between tokens of a lone request in milliseconds. */
    private static final double INTERVAL_MILLIS = 10;

    /** The prompt tokens that are read in a second. */
    private static final double PREFILL_TOKENS_PER_SECOND = 8_000;

    /** The clock. */
    private final VirtualClock clock;

    /** The server as configured. */
    private final BackendServer server;

    /** The speed. */
    private final EngineSpeed speed;

    /** The source of randomness. */
    private final Random random;

    /** The prefix cache. */
    private PrefixCache cache = new PrefixCache(CACHE_TOKENS);

    /** The attempts that run. */
    private final Set<EngineAttempt> running = new LinkedHashSet<>();

    /** The attempts that wait for a slot, highest tier first. */
    private final PriorityQueue<EngineAttempt> waiting =
            new PriorityQueue<>(Comparator.comparingInt(EngineAttempt::tier).thenComparingLong(EngineAttempt::number));

    /** The factor by which it is slowed down. */
    private double slowness = 1;

    /** The share of attempts that fail. */
    private double failingShare;

    /** Whether it is there. */
    private boolean alive = true;

    /** The tokens generated. */
    private long generatedTokens;

    /** The prompt tokens read. */
    private long prefilledTokens;

    /**
     * Creates an engine.
     *
     * @param clock The clock.
     * @param server The server as configured.
     * @param random The source of randomness.
     */
    SimulatedEngine(VirtualClock clock, BackendServer server, Random random) {
        this.clock = clock;
        this.server = server;
        this.random = random;
        this.speed = new EngineSpeed(server.slots(), INTERVAL_MILLIS, 1, PREFILL_TOKENS_PER_SECOND);
    }

    /**
     * Returns the server as configured.
     *
     * @return The server.
     */
    BackendServer server() {
        return server;
    }

    /**
     * Sets the factor by which it is slowed down.
     *
     * @param factor The factor.
     */
    void setSlowness(double factor) {
        slowness = factor;
    }

    /**
     * Sets the share of attempts that fail.
     *
     * @param share The share from 0 to 1.
     */
    void setFailingShare(double share) {
        failingShare = share;
    }

    /** Vanishes with all that it runs. */
    void vanish() {
        alive = false;
        List<EngineAttempt> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(attempt -> clock.after(FAILURE_MILLIS, attempt::fail));
    }

    /** Comes back with an empty cache. */
    void comeBack() {
        alive = true;
        cache = new PrefixCache(CACHE_TOKENS);
    }

    /**
     * Returns the tokens generated.
     *
     * @return The number.
     */
    long generatedTokens() {
        return generatedTokens;
    }

    /**
     * Returns the prompt tokens read, without those that were cached.
     *
     * @return The number.
     */
    long prefilledTokens() {
        return prefilledTokens;
    }

    /**
     * Takes an attempt.
     *
     * @param attempt The attempt.
     */
    void submit(EngineAttempt attempt) {
        if (!alive || failingShare > 0 && random.nextDouble() < failingShare) {
            clock.after(FAILURE_MILLIS, attempt::fail);
            return;
        }
        waiting.add(attempt);
        startWaiting();
    }

    /**
     * Cancels an attempt.
     *
     * @param attempt The attempt.
     */
    void cancel(EngineAttempt attempt) {
        attempt.close();
        waiting.remove(attempt);
        running.remove(attempt);
        startWaiting();
    }

    /** Starts waiting attempts while a slot is free. */
    private void startWaiting() {
        while (running.size() < speed.slots() && !waiting.isEmpty()) {
            EngineAttempt attempt = waiting.remove();
            running.add(attempt);
            if (!attempt.isChat()) {
                clock.after(SERVICE_MILLIS, () -> step(attempt, 1));
                continue;
            }
            int prompt = attempt.promptTokens();
            int cached = attempt.prefixGroup().isEmpty() ? 0 : cache.use(attempt.prefixGroup(), prompt / 2);
            int uncached = Math.max(1, prompt - cached) + attempt.deliveredBefore();
            prefilledTokens += uncached;
            clock.after(speed.prefillMillis(uncached, slowness), () -> step(attempt, 1));
        }
    }

    /**
     * Generates tokens.
     *
     * @param attempt The attempt.
     * @param tokens The number of tokens.
     */
    private void step(EngineAttempt attempt, int tokens) {
        if (attempt.isClosed() || !running.contains(attempt)) {
            return;
        }
        generatedTokens += attempt.isChat() ? tokens : 0;
        int left = attempt.generated(tokens);
        if (left <= 0) {
            running.remove(attempt);
            attempt.finish();
            startWaiting();
            return;
        }
        int next = Math.min(TOKENS_PER_STEP, left);
        clock.after(next * speed.intervalMillis(running.size(), slowness), () -> step(attempt, next));
    }
}
