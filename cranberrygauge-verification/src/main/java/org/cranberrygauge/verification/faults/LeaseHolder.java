package org.cranberrygauge.verification.faults;

import java.util.function.Consumer;
import org.cranberrygauge.decision.lease.LeaderElector;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.decision.state.ApplyResult;

/**
 * One controller of a scenario: it claims the lease and acts while it holds it.
 *
 * <p>Used by one thread.
 */
final class LeaseHolder {

    /** The length of the lease in milliseconds. */
    static final long LEASE_MILLIS = 6_000;

    /** The time without a renewal after which a claimant that does not wait for the lease's end claims, in milliseconds. */
    private static final long SILENCE_MILLIS = 3_000;

    /** The time between two decisions in milliseconds. */
    private static final long TICK_MILLIS = 100;

    /** The world. */
    private final SimulationContext world;

    /** The process. */
    private final SimulatedProcess process;

    /** The log. */
    private final LogClient log;

    /** The keeper. */
    private final LeaderElector keeper;

    /** What is done at each tick while the lease is held. */
    private final Runnable whileHeld;

    /**
     * Creates a controller and starts it.
     *
     * @param world The world.
     * @param name The name.
     * @param listener Takes what became of records.
     * @param whileHeld What is done at each tick while the lease is held.
     */
    LeaseHolder(SimulationContext world, String name, Consumer<ApplyResult> listener, Runnable whileHeld) {
        this.world = world;
        this.whileHeld = whileHeld;
        process = world.process(name);
        log = new LogClient(world, process, listener);
        keeper = new LeaderElector(name, "host-" + name, world.now());
        process.run(world.draw(TICK_MILLIS), () -> process.every(TICK_MILLIS, this::tick));
    }

    /**
     * Returns the process.
     *
     * @return The process.
     */
    SimulatedProcess process() {
        return process;
    }

    /**
     * Returns the log.
     *
     * @return The log.
     */
    LogClient log() {
        return log;
    }

    /**
     * Returns the keeper.
     *
     * @return The keeper.
     */
    LeaderElector keeper() {
        return keeper;
    }

    /**
     * Tells whether this controller believes now that it is in charge.
     *
     * @return Whether it does.
     */
    boolean holds() {
        return !process.isDead() && keeper.holds(world.now());
    }

    /** Decides once. */
    private void tick() {
        long nowMillis = world.now();
        keeper.observe(nowMillis, seen(log.state().lease()));
        boolean held = keeper.holds(nowMillis);
        keeper.decide(nowMillis, LEASE_MILLIS)
                .ifPresent(claim -> world.step(process, held ? Step.RENEW : Step.CLAIM, () -> log.append(claim)));
        if (keeper.holds(world.now()) && process.runs()) {
            whileHeld.run();
        }
    }

    /**
     * Returns the lease as this controller takes it; without the wait, another's lease counts as over
     * after a silence, as by a mere heartbeat.
     *
     * @param lease The lease as it stands in the log.
     * @return The lease.
     */
    private LeaseState seen(LeaseState lease) {
        if (world.on(Mechanism.LEASE_WAIT) || lease.holder().equals(process.name())) {
            return lease;
        }
        return new LeaseState(
                lease.lastClaimOffset(),
                lease.fencingNumber(),
                lease.holder(),
                lease.host(),
                SILENCE_MILLIS,
                lease.released());
    }
}
