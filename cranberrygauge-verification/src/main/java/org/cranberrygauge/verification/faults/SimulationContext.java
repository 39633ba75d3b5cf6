package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The virtual time, the log and the faults of one run.
 *
 * <p>Not thread-safe.
 */
final class SimulationContext {

    /** The time for which a process is paused; longer than a lease and its margin. */
    static final long FREEZE_MILLIS = 10_000;

    /** The time for which a process is partitioned or the log is unavailable. */
    static final long OUTAGE_MILLIS = 10_000;

    /** The time by which a slow message is delayed. */
    static final long SLOW_MILLIS = 3_000;

    private static final int MINIMUM_LATENCY_MILLIS = 1;

    /** The range of random latency added to the minimum. */
    private static final int LATENCY_RANGE_MILLIS = 10;

    private final VirtualScheduler scheduler = new VirtualScheduler();

    private final FakeLog log = new FakeLog(scheduler);

    /** The faults not injected yet. */
    private final List<FaultInjection> injections;

    private final Set<Mechanism> off;

    /** The source of message latencies. */
    private final Random random;

    /** Whether a process was partitioned during the run. */
    private boolean partitioned;

    /** The action of an eviction. */
    private Runnable eviction = () -> {};

    /** The action of a second operator. */
    private Runnable operatorAction = () -> {};

    /** The action that makes the next answer to a process one that belongs to another request. */
    private Consumer<SimulatedProcess> misdelivery = process -> {};

    SimulationContext(List<FaultInjection> injections, Set<Mechanism> off, long seed) {
        this.injections = new ArrayList<>(injections);
        this.off = off.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(off);
        this.random = new Random(seed);
    }

    FakeLog log() {
        return log;
    }

    VirtualScheduler scheduler() {
        return scheduler;
    }

    long now() {
        return scheduler.now();
    }

    /** Tells whether a mechanism is switched on. */
    boolean isEnabled(Mechanism mechanism) {
        return !off.contains(mechanism);
    }

    /** Returns the number of faults whose step was not reached. */
    int notReached() {
        return injections.size();
    }

    /** Tells whether a process was partitioned during the run. */
    boolean wasPartitioned() {
        return partitioned;
    }

    /** Sets what an eviction, a second operator and a misdelivered answer do. */
    void onFaults(Runnable evict, Runnable operate, Consumer<SimulatedProcess> misdeliver) {
        eviction = evict;
        operatorAction = operate;
        misdelivery = misdeliver;
    }

    SimulatedProcess process(String name) {
        return new SimulatedProcess(name, scheduler);
    }

    /** Runs a step, and injects the faults that are due there. */
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
        scheduler.trace(process.name() + " " + injection);
        if (injection.after()) {
            action.run();
            inject(process, injection.fault(), () -> {});
        } else {
            inject(process, injection.fault(), () -> step(process, step, action));
        }
    }

    /**
     * Calls another process over the simulated network.
     *
     * @param callee Runs at the callee; null means that it does not answer.
     * @param answer Receives the answer at the caller.
     * @param failure Runs if no answer came within the timeout.
     */
    <T> void call(SimulatedProcess from, Supplier<T> callee, Consumer<T> answer, Runnable failure, long timeoutMillis) {
        boolean[] ended = new boolean[1];
        Runnable once = () -> {
            if (!ended[0]) {
                ended[0] = true;
                failure.run();
            }
        };
        from.run(timeoutMillis, once);
        if (from.isPartitioned()) {
            return;
        }
        boolean duplicated = from.consumeDuplicate();
        boolean answerLost = from.consumeLoss();
        scheduler.after(latency(), () -> {
            T result = callee.get();
            T repeated = duplicated ? callee.get() : result;
            if (result == null || repeated == null || answerLost) {
                return;
            }
            from.run(latency(), () -> {
                if (!ended[0] && !from.isPartitioned()) {
                    ended[0] = true;
                    answer.accept(result);
                }
            });
        });
    }

    /** Injects a fault, followed by the rest of the step. */
    private void inject(SimulatedProcess process, Fault fault, Runnable action) {
        switch (fault) {
            case KILL -> process.kill();
            case FREEZE -> {
                process.freeze(FREEZE_MILLIS);
                process.run(0, action);
            }
            case SLOW -> process.run(SLOW_MILLIS, action);
            case CUT -> {
                partitioned = true;
                process.partition(OUTAGE_MILLIS);
                action.run();
            }
            case LOG_OUTAGE -> {
                log.fail(OUTAGE_MILLIS);
                action.run();
            }
            case LOST_ANSWER -> {
                process.loseNextAnswer();
                action.run();
            }
            case DUPLICATE -> {
                process.duplicateNextMessage();
                action.run();
            }
            case CROSSED_ANSWER -> {
                misdelivery.accept(process);
                action.run();
            }
            case EVICTION -> {
                eviction.run();
                action.run();
            }
            default -> {
                operatorAction.run();
                action.run();
            }
        }
    }

    /** Returns a random time below a bound in milliseconds, so that processes don't run in step. */
    long randomMillis(long rangeMillis) {
        return random.nextInt((int) rangeMillis);
    }

    /** Returns the random latency of a message in milliseconds. */
    private long latency() {
        return MINIMUM_LATENCY_MILLIS + random.nextInt(LATENCY_RANGE_MILLIS);
    }
}
