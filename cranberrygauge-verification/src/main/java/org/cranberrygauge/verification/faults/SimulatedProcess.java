package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;

/**
 * One process of a scenario, which can be killed, frozen and cut off.
 *
 * <p>Invariants: a dead process runs nothing; what falls due while it is frozen runs when it thaws, in order. Used by one
 * thread.
 */
final class SimulatedProcess {

    /** The name. */
    private final String name;

    /** The clock. */
    private final VirtualScheduler timeline;

    /** What fell due while it was frozen. */
    private final List<Runnable> deferred = new ArrayList<>();

    /** Whether it is dead. */
    private boolean dead;

    /** Whether it is frozen. */
    private boolean frozen;

    /** The time until which it reaches nobody in milliseconds. */
    private long cutUntilMillis;

    /** The number of answers that are still to be lost. */
    private int answersToLose;

    /** The number of messages that are still to be delivered twice. */
    private int messagesToDouble;

    /**
     * Creates a process.
     *
     * @param name The name.
     * @param timeline The clock.
     */
    SimulatedProcess(String name, VirtualScheduler timeline) {
        this.name = name;
        this.timeline = timeline;
    }

    /**
     * Returns the name.
     *
     * @return The name.
     */
    String name() {
        return name;
    }

    /**
     * Runs an action later, unless the process is dead by then.
     *
     * @param delayMillis The time from now in milliseconds.
     * @param action The action.
     */
    void run(long delayMillis, Runnable action) {
        timeline.after(delayMillis, () -> runNow(action));
    }

    /**
     * Runs an action again and again.
     *
     * @param intervalMillis The time between two runs in milliseconds.
     * @param action The action.
     */
    void every(long intervalMillis, Runnable action) {
        run(intervalMillis, () -> {
            action.run();
            every(intervalMillis, action);
        });
    }

    /** Kills the process. */
    void kill() {
        dead = true;
        timeline.note(name + " dies");
    }

    /**
     * Freezes the process.
     *
     * @param millis The time in milliseconds.
     */
    void freeze(long millis) {
        frozen = true;
        timeline.note(name + " freezes");
        timeline.after(millis, this::thaw);
    }

    /**
     * Cuts the process off.
     *
     * @param millis The time in milliseconds.
     */
    void cut(long millis) {
        cutUntilMillis = timeline.now() + millis;
        timeline.note(name + " is cut off");
    }

    /** Loses the next answer. */
    void loseAnswer() {
        answersToLose++;
    }

    /** Delivers the next message twice. */
    void doubleMessage() {
        messagesToDouble++;
    }

    /**
     * Takes the loss of an answer that is due.
     *
     * @return Whether the answer is lost.
     */
    boolean takesLoss() {
        boolean loses = answersToLose > 0;
        answersToLose -= loses ? 1 : 0;
        return loses;
    }

    /**
     * Takes the second delivery that is due.
     *
     * @return Whether the message is delivered twice.
     */
    boolean takesDouble() {
        boolean doubles = messagesToDouble > 0;
        messagesToDouble -= doubles ? 1 : 0;
        return doubles;
    }

    /**
     * Tells whether the process is dead.
     *
     * @return Whether it is.
     */
    boolean isDead() {
        return dead;
    }

    /**
     * Tells whether the process answers others now.
     *
     * @return Whether it does.
     */
    boolean answers() {
        return !dead && !frozen && !isCut();
    }

    /**
     * Tells whether the process runs now.
     *
     * @return Whether it does.
     */
    boolean runs() {
        return !dead && !frozen;
    }

    /**
     * Tells whether the process reaches nobody.
     *
     * @return Whether it is cut off.
     */
    boolean isCut() {
        return timeline.now() < cutUntilMillis;
    }

    /**
     * Runs an action unless the process is dead or frozen.
     *
     * @param action The action.
     */
    private void runNow(Runnable action) {
        if (frozen) {
            deferred.add(action);
        } else if (!dead) {
            action.run();
        }
    }

    /** Thaws the process and runs what fell due. */
    private void thaw() {
        frozen = false;
        timeline.note(name + " thaws");
        List<Runnable> late = List.copyOf(deferred);
        deferred.clear();
        late.forEach(this::runNow);
    }
}
