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
 * An inference engine, or a worker of a plain service, simulated in memory with the speed model and the prefix cache
 * of the emulated engine.
 *
 * <p>Not thread-safe.
 */
final class SimulatedEngine {

    /** The tokens generated per simulation event after the first token. */
    private static final int TOKENS_PER_STEP = 4;

    /** The duration of a call to a plain service. */
    private static final double SERVICE_CALL_MILLIS = 20;

    /** The time until the gateway notices that an attempt failed. */
    private static final double FAILURE_DETECTION_MILLIS = 5;

    /** The capacity of the prefix cache. */
    private static final int CACHE_TOKENS = 20_000;

    /** The time between tokens while a single request runs. */
    private static final double TOKEN_INTERVAL_MILLIS = 10;

    /** The speed at which uncached prompt tokens are processed. */
    private static final double PREFILL_TOKENS_PER_SECOND = 8_000;

    private final VirtualClock clock;

    private final BackendServer server;

    private final EngineSpeed speed;

    private final Random random;

    private PrefixCache cache = new PrefixCache(CACHE_TOKENS);

    private final Set<EngineAttempt> running = new LinkedHashSet<>();

    /** The attempts that wait for a slot, highest tier first. */
    private final PriorityQueue<EngineAttempt> waiting =
            new PriorityQueue<>(Comparator.comparingInt(EngineAttempt::tier).thenComparingLong(EngineAttempt::number));

    /** The factor by which processing is slowed down; 1 is full speed. */
    private double slowness = 1;

    private double failureRate;

    private boolean available = true;

    private long generatedTokens;

    /** The prompt tokens processed, without those found in the prefix cache. */
    private long prefilledTokens;

    SimulatedEngine(VirtualClock clock, BackendServer server, Random random) {
        this.clock = clock;
        this.server = server;
        this.random = random;
        this.speed = new EngineSpeed(server.slots(), TOKEN_INTERVAL_MILLIS, 1, PREFILL_TOKENS_PER_SECOND);
    }

    BackendServer server() {
        return server;
    }

    /** Sets the factor by which processing is slowed down; 1 is full speed. */
    void setSlowness(double factor) {
        slowness = factor;
    }

    /** Sets the share of attempts that fail, from 0 to 1. */
    void setFailureRate(double rate) {
        failureRate = rate;
    }

    /** Stops the engine; all its attempts fail. */
    void stop() {
        available = false;
        List<EngineAttempt> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(attempt -> clock.after(FAILURE_DETECTION_MILLIS, attempt::fail));
    }

    /** Restarts the engine with an empty prefix cache. */
    void restart() {
        available = true;
        cache = new PrefixCache(CACHE_TOKENS);
    }

    long generatedTokens() {
        return generatedTokens;
    }

    /** Returns the prompt tokens processed, without those found in the prefix cache. */
    long prefilledTokens() {
        return prefilledTokens;
    }

    void submit(EngineAttempt attempt) {
        if (!available || failureRate > 0 && random.nextDouble() < failureRate) {
            clock.after(FAILURE_DETECTION_MILLIS, attempt::fail);
            return;
        }
        waiting.add(attempt);
        startWaiting();
    }

    void cancel(EngineAttempt attempt) {
        attempt.close();
        waiting.remove(attempt);
        running.remove(attempt);
        startWaiting();
    }

    /** Starts waiting attempts while slots are free. */
    private void startWaiting() {
        while (running.size() < speed.slots() && !waiting.isEmpty()) {
            EngineAttempt attempt = waiting.remove();
            running.add(attempt);
            if (!attempt.isChat()) {
                clock.after(SERVICE_CALL_MILLIS, () -> step(attempt, 1));
                continue;
            }
            int prompt = attempt.promptTokens();
            int cached = attempt.prefixGroup().isEmpty() ? 0 : cache.use(attempt.prefixGroup(), prompt / 2);
            int uncached = Math.max(1, prompt - cached) + attempt.deliveredBefore();
            prefilledTokens += uncached;
            clock.after(speed.prefillMillis(uncached, slowness), () -> step(attempt, 1));
        }
    }

    /** Generates tokens and schedules the next step. */
    private void step(EngineAttempt attempt, int tokens) {
        if (attempt.isClosed() || !running.contains(attempt)) {
            return;
        }
        generatedTokens += attempt.isChat() ? tokens : 0;
        int left = attempt.deliver(tokens);
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
