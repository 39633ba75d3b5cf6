package org.cranberrygauge.gateway.http;

import org.cranberrygauge.decision.membership.AdmissionFreshness;
import org.cranberrygauge.decision.membership.Membership;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.runtime.state.ProcessState;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Tells whether this gateway admits requests now.
 *
 * <p>Safe for use by several threads.
 */
public final class AdmissionGate {

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The rule of freshness. */
    private final AdmissionFreshness freshness;

    /** The sources of time. */
    private final TimeSource time;

    /** The host of this gateway. */
    private final String host;

    /** The incarnation of this gateway. */
    private final String gateway;

    /** Whether a planned stop began. */
    private volatile boolean draining;

    /**
     * Creates a gate.
     *
     * @param blackboard The blackboard.
     * @param freshness The rule of freshness.
     * @param time The sources of time.
     * @param host The host of this gateway.
     * @param gateway The incarnation of this gateway.
     */
    public AdmissionGate(
            ProcessState blackboard, AdmissionFreshness freshness, TimeSource time, String host, String gateway) {
        this.blackboard = blackboard;
        this.freshness = freshness;
        this.time = time;
        this.host = host;
        this.gateway = gateway;
    }

    /** Stops to admit, for a planned stop. */
    public void drain() {
        draining = true;
    }

    /**
     * Tells whether a planned stop began.
     *
     * @return Whether it did.
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Checks that requests may be admitted now.
     *
     * @throws CranberrygaugeException If they may not.
     */
    public void check() throws CranberrygaugeException {
        if (draining) {
            throw new CranberrygaugeException(ErrorCode.NOT_ADMITTING, "this gateway stops");
        }
        if (blackboard.log().configuration().current().version() == 0) {
            throw new CranberrygaugeException(ErrorCode.NOT_ADMITTING, "this gateway has no configuration yet");
        }
        if (!freshness.mayAdmit(time.monotonicMillis(), view())) {
            throw new CranberrygaugeException(
                    ErrorCode.NOT_ADMITTING,
                    "this gateway is cut off or no member yet, and may not know withdrawn keys");
        }
    }

    /**
     * Builds what the rule of freshness needs to know.
     *
     * @return The view.
     */
    private AdmissionFreshness.View view() {
        Membership members = blackboard.log().members();
        long others = members.all().stream()
                .filter(member -> !member.host().equals(host))
                .count();
        return new AdmissionFreshness.View(
                blackboard.position().endReadAtMillis(),
                blackboard.configuration().times().freshnessMillis(),
                blackboard.log().configuration().current().version(),
                blackboard.position().offset(),
                members.contains(gateway),
                (int) others,
                blackboard.peers().values());
    }
}
