package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;

/**
 * A process of a scenario, which can be killed, paused and partitioned from all others.
 *
 * <p>Invariants: a dead process runs nothing; actions due while it is paused run in order when it resumes. Not
 * thread-safe.
 */
final class SimulatedProcess {

    private final String name;

    private final VirtualScheduler scheduler;

    /** The actions that were due while it was paused. */
    private final List<Runnable> deferred = new ArrayList<>();

    private boolean dead;

    private boolean paused;

    private long partitionedUntilMillis;

    /** The number of answers still to lose. */
    private int answersToLose;

    /** The number of messages still to deliver twice. */
    private int messagesToDuplicate;

    SimulatedProcess(String name, VirtualScheduler scheduler) {
        this.name = name;
        this.scheduler = scheduler;
    }

    String name() {
        return name;
    }

    /** Runs an action after a delay unless the process is dead by then. */
    void run(long delayMillis, Runnable action) {
        scheduler.after(delayMillis, () -> runNow(action));
    }

    /** Runs an action at a fixed interval. */
    void every(long intervalMillis, Runnable action) {
        run(intervalMillis, () -> {
            action.run();
            every(intervalMillis, action);
        });
    }

    void kill() {
        dead = true;
        scheduler.trace(name + " is killed");
    }

    void freeze(long millis) {
        paused = true;
        scheduler.trace(name + " pauses");
        scheduler.after(millis, this::resume);
    }

    /** Partitions the process from all others. */
    void partition(long millis) {
        partitionedUntilMillis = scheduler.now() + millis;
        scheduler.trace(name + " is partitioned");
    }

    void loseNextAnswer() {
        answersToLose++;
    }

    void duplicateNextMessage() {
        messagesToDuplicate++;
    }

    /** Tells whether the next answer is to be lost, and counts it as lost. */
    boolean consumeLoss() {
        boolean lost = answersToLose > 0;
        answersToLose -= lost ? 1 : 0;
        return lost;
    }

    /** Tells whether the next message is to be delivered twice, and counts it as duplicated. */
    boolean consumeDuplicate() {
        boolean duplicated = messagesToDuplicate > 0;
        messagesToDuplicate -= duplicated ? 1 : 0;
        return duplicated;
    }

    boolean isDead() {
        return dead;
    }

    /** Tells whether the process responds to others now. */
    boolean answers() {
        return !dead && !paused && !isPartitioned();
    }

    /** Tells whether the process runs now. */
    boolean runs() {
        return !dead && !paused;
    }

    /** Tells whether the process is partitioned from all others now. */
    boolean isPartitioned() {
        return scheduler.now() < partitionedUntilMillis;
    }

    /** Runs an action unless the process is dead, or defers it while paused. */
    private void runNow(Runnable action) {
        if (paused) {
            deferred.add(action);
        } else if (!dead) {
            action.run();
        }
    }

    /** Resumes the process and runs the deferred actions. */
    private void resume() {
        paused = false;
        scheduler.trace(name + " resumes");
        List<Runnable> dueActions = List.copyOf(deferred);
        deferred.clear();
        dueActions.forEach(this::runNow);
    }
}
