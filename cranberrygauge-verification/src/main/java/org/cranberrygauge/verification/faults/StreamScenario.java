package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A gateway relays an engine's stream to a caller, and resumes it on the other engine if it breaks.
 *
 * <p>The gateway's chat call is no pure state machine, so this scenario reimplements its rules: an event of another
 * attempt is dropped; a stream that breaks or stalls is resumed on the other engine after the tokens already
 * delivered. A connection keeps the order of bytes, so a lost answer is a broken connection. The caller counts tokens.
 * Not thread-safe.
 */
final class StreamScenario implements Scenario {

    private static final long RUN_MILLIS = 40_000;

    /** The length of the answer. */
    private static final int TOKENS = 40;

    /** The interval between two tokens. */
    private static final long TOKEN_INTERVAL_MILLIS = 50;

    /** The network latency of an event. */
    private static final long LATENCY_MILLIS = 2;

    /** The time without an event after which a stream counts as broken. */
    private static final long STALL_TIMEOUT_MILLIS = 1_000;

    private static final int MAXIMUM_ATTEMPTS = 16;

    /** The tokens that the caller received. */
    private final List<String> received = new ArrayList<>();

    private SimulationContext context;

    private SimulatedProcess gateway;

    private int attempt;

    private long lastEventMillis;

    /** Whether the first engine is evicted. */
    private boolean evicted;

    /** Whether the next event is one that belongs to another request. */
    private boolean misdeliverNext;

    /** Whether the present connection is broken. */
    private boolean broken;

    /** Whether the caller was told that the answer is complete. */
    private boolean done;

    /** Whether the caller received an error or lost its connection. */
    private boolean failed;

    @Override
    public List<Step> steps() {
        return List.of(Step.FIRST_BYTE, Step.MID_STREAM, Step.LAST_BYTE);
    }

    @Override
    public List<Finding> run(SimulationContext runContext) {
        context = runContext;
        gateway = context.process("gateway");
        context.onFaults(() -> evicted = true, () -> {}, process -> misdeliverNext = true);
        gateway.run(1, this::startAttempt);
        gateway.every(TOKEN_INTERVAL_MILLIS, this::resumeIfBroken);
        context.scheduler().runUntil(RUN_MILLIS);
        List<String> whole =
                IntStream.range(0, TOKENS).mapToObj(index -> "own " + index).toList();
        boolean wrong = !whole.subList(0, Math.min(TOKENS, received.size())).equals(received);
        boolean silent = done && received.size() != TOKENS;
        boolean callerLost = gateway.isDead() || failed && context.wasPartitioned();
        boolean unfinished = !done && !callerLost;
        String counted = "tokens " + received.size() + " of " + TOKENS + ", done " + done + ", attempts " + attempt;
        return List.of(Finding.of(Invariant.WHOLE_STREAM, wrong || silent || unfinished, !done, counted));
    }

    /** Starts the next attempt, after the tokens already delivered. */
    private void startAttempt() {
        if (done || failed) {
            return;
        }
        if (attempt == MAXIMUM_ATTEMPTS || attempt > 0 && !context.isEnabled(Mechanism.RESUME)) {
            failed = true;
            context.scheduler().trace("caller receives an error after " + received.size() + " tokens");
            return;
        }
        attempt++;
        broken = false;
        lastEventMillis = context.now();
        context.scheduler().trace("attempt " + attempt + " from token " + received.size());
        emit(attempt, received.size());
    }

    /**
     * Lets an engine emit the next token of an attempt; the engine continues after the gateway has abandoned the
     * attempt.
     */
    private void emit(int number, int token) {
        context.scheduler().after(TOKEN_INTERVAL_MILLIS, () -> {
            boolean engineEvicted = evicted && number % 2 == 1;
            if (engineEvicted || token == TOKENS) {
                return;
            }
            if (!gateway.isPartitioned()) {
                gateway.run(LATENCY_MILLIS, () -> step(number, token));
            }
            emit(number, token + 1);
        });
    }

    /** Handles an event at its protocol step, where faults are injected. */
    private void step(int number, int token) {
        if (token == 0) {
            context.step(gateway, Step.FIRST_BYTE, () -> receive(number, token));
        } else if (token == TOKENS - 1) {
            context.step(gateway, Step.LAST_BYTE, () -> receive(number, token));
        } else if (token == TOKENS / 2) {
            context.step(gateway, Step.MID_STREAM, () -> receive(number, token));
        } else {
            receive(number, token);
        }
    }

    private void receive(int number, int token) {
        if (gateway.consumeLoss()) {
            broken = true;
        }
        boolean misdelivered = misdeliverNext;
        misdeliverNext = false;
        boolean stale = number != attempt || misdelivered;
        if (done || failed || broken || context.isEnabled(Mechanism.ATTEMPT_CHECK) && stale) {
            broken |= misdelivered;
            return;
        }
        if (context.isEnabled(Mechanism.ATTEMPT_CHECK) && token != received.size()) {
            broken = true;
            return;
        }
        if (gateway.isPartitioned()) {
            failed = true;
            return;
        }
        lastEventMillis = context.now();
        received.add((misdelivered ? "other " : "own ") + token);
        if (token == TOKENS - 1) {
            done = true;
        }
    }

    /** Resumes a stream that broke or stalled. */
    private void resumeIfBroken() {
        boolean silent = context.now() - lastEventMillis > STALL_TIMEOUT_MILLIS;
        if (!done && !failed && attempt > 0 && (broken || silent)) {
            startAttempt();
        }
    }
}
