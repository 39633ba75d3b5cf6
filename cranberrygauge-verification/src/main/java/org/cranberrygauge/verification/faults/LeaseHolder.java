package org.cranberrygauge.verification.faults;

import java.util.function.Consumer;
import org.cranberrygauge.decision.lease.LeaderElector;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.decision.state.ApplyResult;

/**
 * A controller of a scenario: it claims the lease and acts while it holds it.
 *
 * <p>Not thread-safe.
 */
final class LeaseHolder {

    static final long LEASE_MILLIS = 6_000;

    /** The time without a renewal after which a claimant that doesn't wait for the end of the lease claims it. */
    private static final long RENEWAL_TIMEOUT_MILLIS = 3_000;

    /** The interval between two decisions. */
    private static final long TICK_MILLIS = 100;

    private final SimulationContext context;

    private final SimulatedProcess process;

    private final LogClient log;

    private final LeaderElector elector;

    /** Runs at each tick while the lease is held. */
    private final Runnable whileHeld;

    LeaseHolder(SimulationContext context, String name, Consumer<ApplyResult> listener, Runnable whileHeld) {
        this.context = context;
        this.whileHeld = whileHeld;
        process = context.process(name);
        log = new LogClient(context, process, listener);
        elector = new LeaderElector(name, "host-" + name, context.now());
        process.run(context.randomMillis(TICK_MILLIS), () -> process.every(TICK_MILLIS, this::tick));
    }

    SimulatedProcess process() {
        return process;
    }

    LogClient log() {
        return log;
    }

    LeaderElector elector() {
        return elector;
    }

    /** Tells whether this controller believes now that it holds the lease. */
    boolean holds() {
        return !process.isDead() && elector.holds(context.now());
    }

    /** Claims or renews the lease if due. */
    private void tick() {
        long nowMillis = context.now();
        elector.observe(nowMillis, observedLease(log.state().lease()));
        boolean held = elector.holds(nowMillis);
        elector.decide(nowMillis, LEASE_MILLIS)
                .ifPresent(claim -> context.step(process, held ? Step.RENEW : Step.CLAIM, () -> log.append(claim)));
        if (elector.holds(context.now()) && process.runs()) {
            whileHeld.run();
        }
    }

    /**
     * Returns the lease as this controller sees it: without the lease wait, another holder's lease counts as expired
     * after a short silence, as with a plain heartbeat.
     */
    private LeaseState observedLease(LeaseState lease) {
        if (context.isEnabled(Mechanism.LEASE_WAIT) || lease.holder().equals(process.name())) {
            return lease;
        }
        return new LeaseState(
                lease.lastClaimOffset(),
                lease.fencingNumber(),
                lease.holder(),
                lease.host(),
                RENEWAL_TIMEOUT_MILLIS,
                lease.released());
    }
}
