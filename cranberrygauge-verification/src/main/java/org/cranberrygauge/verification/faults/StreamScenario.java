package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A gateway passes an engine's stream on to a caller, and resumes it on the other engine when it breaks.
 *
 * <p>The actors mirror the gateway's chat call, which is no pure state machine: an event of another attempt is dropped, a stream
 * that breaks or falls silent goes on elsewhere from the tokens already delivered. A connection keeps the order of bytes, so
 * that a lost answer is a connection that breaks. Tokens are counted by the caller. Used by one thread.
 */
final class StreamScenario implements Scenario {

    /** The length of a run in milliseconds. */
    private static final long RUN_MILLIS = 40_000;

    /** The number of tokens of the answer. */
    private static final int TOKENS = 40;

    /** The time between two tokens in milliseconds. */
    private static final long TOKEN_MILLIS = 50;

    /** The time that an event takes to the gateway in milliseconds. */
    private static final long TRAVEL_MILLIS = 2;

    /** The time without an event after which a stream is broken in milliseconds. */
    private static final long SILENCE_MILLIS = 1_000;

    /** The highest number of attempts. */
    private static final int ATTEMPTS = 16;

    /** The tokens that the caller got. */
    private final List<String> received = new ArrayList<>();

    /** The world. */
    private SimulationContext world;

    /** The gateway. */
    private SimulatedProcess gateway;

    /** The number of attempts so far. */
    private int attempt;

    /** The time of the last event in milliseconds. */
    private long lastEventMillis;

    /** Whether the first engine is gone. */
    private boolean evicted;

    /** Whether the next event belongs to another request. */
    private boolean crossed;

    /** Whether the present connection is broken. */
    private boolean broken;

    /** Whether the caller was told that the answer is whole. */
    private boolean done;

    /** Whether the caller was told of an error or lost its connection. */
    private boolean failed;

    @Override
    public List<Step> steps() {
        return List.of(Step.FIRST_BYTE, Step.MID_STREAM, Step.LAST_BYTE);
    }

    @Override
    public List<Finding> run(SimulationContext present) {
        world = present;
        gateway = world.process("gateway");
        world.onFaults(() -> evicted = true, () -> {}, process -> crossed = true);
        gateway.run(1, this::next);
        gateway.every(TOKEN_MILLIS, this::watch);
        world.timeline().runUntil(RUN_MILLIS);
        List<String> whole =
                IntStream.range(0, TOKENS).mapToObj(index -> "own " + index).toList();
        boolean wrong = !whole.subList(0, Math.min(TOKENS, received.size())).equals(received);
        boolean silent = done && received.size() != TOKENS;
        boolean callerLost = gateway.isDead() || failed && world.wasCut();
        boolean unfinished = !done && !callerLost;
        String counted = "tokens " + received.size() + " of " + TOKENS + ", done " + done + ", attempts " + attempt;
        return List.of(Finding.of(Invariant.WHOLE_STREAM, wrong || silent || unfinished, !done, counted));
    }

    /** Begins the next attempt, from the tokens already delivered. */
    private void next() {
        if (done || failed) {
            return;
        }
        if (attempt == ATTEMPTS || attempt > 0 && !world.on(Mechanism.RESUME)) {
            failed = true;
            world.timeline().note("caller gets an explicit error after " + received.size() + " tokens");
            return;
        }
        attempt++;
        broken = false;
        lastEventMillis = world.now();
        world.timeline().note("attempt " + attempt + " from token " + received.size());
        emit(attempt, received.size());
    }

    /**
     * Lets an engine emit the next token of an attempt; it goes on after the gateway gave the attempt up.
     *
     * @param number The number of the attempt.
     * @param token The number of the token.
     */
    private void emit(int number, int token) {
        world.timeline().after(TOKEN_MILLIS, () -> {
            boolean gone = evicted && number % 2 == 1;
            if (gone || token == TOKENS) {
                return;
            }
            if (!gateway.isCut()) {
                gateway.run(TRAVEL_MILLIS, () -> step(number, token));
            }
            emit(number, token + 1);
        });
    }

    /**
     * Takes an event, with the faults that strike there.
     *
     * @param number The number of the attempt.
     * @param token The number of the token.
     */
    private void step(int number, int token) {
        if (token == 0) {
            world.step(gateway, Step.FIRST_BYTE, () -> take(number, token));
        } else if (token == TOKENS - 1) {
            world.step(gateway, Step.LAST_BYTE, () -> take(number, token));
        } else if (token == TOKENS / 2) {
            world.step(gateway, Step.MID_STREAM, () -> take(number, token));
        } else {
            take(number, token);
        }
    }

    /**
     * Takes an event.
     *
     * @param number The number of the attempt.
     * @param token The number of the token.
     */
    private void take(int number, int token) {
        if (gateway.takesLoss()) {
            broken = true;
        }
        boolean others = crossed;
        crossed = false;
        boolean stale = number != attempt || others;
        if (done || failed || broken || world.on(Mechanism.ATTEMPT_CHECK) && stale) {
            broken |= others;
            return;
        }
        if (world.on(Mechanism.ATTEMPT_CHECK) && token != received.size()) {
            broken = true;
            return;
        }
        if (gateway.isCut()) {
            failed = true;
            return;
        }
        lastEventMillis = world.now();
        received.add((others ? "other " : "own ") + token);
        if (token == TOKENS - 1) {
            done = true;
        }
    }

    /** Resumes a stream that broke or fell silent. */
    private void watch() {
        boolean silent = world.now() - lastEventMillis > SILENCE_MILLIS;
        if (!done && !failed && attempt > 0 && (broken || silent)) {
            next();
        }
    }
}
