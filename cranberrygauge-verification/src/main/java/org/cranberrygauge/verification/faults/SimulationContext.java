package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The clock, the log and the faults of one run.
 *
 * <p>Used by one thread.
 */
final class SimulationContext {

    /** The time for which a process is frozen in milliseconds, longer than a lease and its margin. */
    static final long FREEZE_MILLIS = 10_000;

    /** The time for which a process is cut off or the log is down in milliseconds. */
    static final long OUTAGE_MILLIS = 10_000;

    /** The time by which a slow message is late in milliseconds. */
    static final long SLOW_MILLIS = 3_000;

    /** The shortest time that a message takes in milliseconds. */
    private static final int SHORTEST_MILLIS = 1;

    /** The range of the time that a message takes in milliseconds. */
    private static final int RANGE_MILLIS = 10;

    /** The clock. */
    private final VirtualScheduler timeline = new VirtualScheduler();

    /** The log. */
    private final FakeLog log = new FakeLog(timeline);

    /** The faults that were not injected yet. */
    private final List<FaultInjection> injections;

    /** The mechanisms that are off. */
    private final Set<Mechanism> off;

    /** The source of message times. */
    private final Random random;

    /** Whether a process was cut off. */
    private boolean cut;

    /** What an eviction does. */
    private Runnable eviction = () -> {};

    /** What a second operator does. */
    private Runnable race = () -> {};

    /** What a crossed answer does. */
    private Consumer<SimulatedProcess> crossing = process -> {};

    /**
     * Creates a world.
     *
     * @param injections The faults.
     * @param off The mechanisms that are off.
     * @param seed The seed of message times.
     */
    SimulationContext(List<FaultInjection> injections, Set<Mechanism> off, long seed) {
        this.injections = new ArrayList<>(injections);
        this.off = off.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(off);
        this.random = new Random(seed);
    }

    /**
     * Returns the log.
     *
     * @return The log.
     */
    FakeLog log() {
        return log;
    }

    /**
     * Returns the clock.
     *
     * @return The clock.
     */
    VirtualScheduler timeline() {
        return timeline;
    }

    /**
     * Returns the present time.
     *
     * @return The time in milliseconds.
     */
    long now() {
        return timeline.now();
    }

    /**
     * Tells whether a mechanism works.
     *
     * @param mechanism The mechanism.
     * @return Whether it does.
     */
    boolean on(Mechanism mechanism) {
        return !off.contains(mechanism);
    }

    /**
     * Returns the number of faults that no step reached.
     *
     * @return The number.
     */
    int notReached() {
        return injections.size();
    }

    /**
     * Tells whether a process was cut off.
     *
     * @return Whether one was.
     */
    boolean wasCut() {
        return cut;
    }

    /**
     * Sets what an eviction, a second operator and a crossed answer do.
     *
     * @param evict What an eviction does.
     * @param act What a second operator does.
     * @param cross What a crossed answer does to a process.
     */
    void onFaults(Runnable evict, Runnable act, Consumer<SimulatedProcess> cross) {
        eviction = evict;
        race = act;
        crossing = cross;
    }

    /**
     * Creates a process.
     *
     * @param name The name.
     * @return The process.
     */
    SimulatedProcess process(String name) {
        return new SimulatedProcess(name, timeline);
    }

    /**
     * Does a step, with the faults that are to be injected there.
     *
     * @param process The process.
     * @param step The step.
     * @param action What the step does.
     */
    void step(SimulatedProcess process, Step step, Runnable action) {
        FaultInjection injection = injections.stream()
                .filter(candidate -> candidate.step() == step)
                .findFirst()
                .orElse(null);
        if (injection == null) {
            action.run();
            return;
        }
        injections.remove(injection);
        timeline.note(process.name() + " " + injection);
        if (injection.after()) {
            action.run();
            strike(process, injection.fault(), () -> {});
        } else {
            strike(process, injection.fault(), () -> step(process, step, action));
        }
    }

    /**
     * Calls a far end.
     *
     * @param from The process that calls.
     * @param far What the far end does; null means that it does not answer.
     * @param answer Takes the answer.
     * @param failure Runs if no answer came in time.
     * @param timeoutMillis The time after which the call is given up in milliseconds.
     * @param <T> The type of the answer.
     */
    <T> void call(SimulatedProcess from, Supplier<T> far, Consumer<T> answer, Runnable failure, long timeoutMillis) {
        boolean[] ended = new boolean[1];
        Runnable once = () -> {
            if (!ended[0]) {
                ended[0] = true;
                failure.run();
            }
        };
        from.run(timeoutMillis, once);
        if (from.isCut()) {
            return;
        }
        boolean twice = from.takesDouble();
        boolean lost = from.takesLoss();
        timeline.after(latency(), () -> {
            T result = far.get();
            T repeated = twice ? far.get() : result;
            if (result == null || repeated == null || lost) {
                return;
            }
            from.run(latency(), () -> {
                if (!ended[0] && !from.isCut()) {
                    ended[0] = true;
                    answer.accept(result);
                }
            });
        });
    }

    /**
     * Injects a fault.
     *
     * @param process The process.
     * @param fault The fault.
     * @param action What the step does after it.
     */
    private void strike(SimulatedProcess process, Fault fault, Runnable action) {
        switch (fault) {
            case KILL -> process.kill();
            case FREEZE -> {
                process.freeze(FREEZE_MILLIS);
                process.run(0, action);
            }
            case SLOW -> process.run(SLOW_MILLIS, action);
            case CUT -> {
                cut = true;
                process.cut(OUTAGE_MILLIS);
                action.run();
            }
            case LOG_OUTAGE -> {
                log.fail(OUTAGE_MILLIS);
                action.run();
            }
            case LOST_ANSWER -> {
                process.loseAnswer();
                action.run();
            }
            case DUPLICATE -> {
                process.doubleMessage();
                action.run();
            }
            case CROSSED_ANSWER -> {
                crossing.accept(process);
                action.run();
            }
            case EVICTION -> {
                eviction.run();
                action.run();
            }
            default -> {
                race.run();
                action.run();
            }
        }
    }

    /**
     * Draws a time, by which processes are out of step.
     *
     * @param rangeMillis The range in milliseconds.
     * @return The time in milliseconds, below the range.
     */
    long draw(long rangeMillis) {
        return random.nextInt((int) rangeMillis);
    }

    /**
     * Draws the time that a message takes.
     *
     * @return The time in milliseconds.
     */
    private long latency() {
        return SHORTEST_MILLIS + random.nextInt(RANGE_MILLIS);
    }
}
