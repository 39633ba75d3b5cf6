package org.cranberrygauge.gateway.http;

import org.cranberrygauge.decision.membership.AdmissionFreshness;
import org.cranberrygauge.decision.membership.Membership;
import org.cranberrygauge.decision.stop.PlannedStop;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Decides whether this gateway currently admits requests.
 *
 * <p>Safe for use by several threads.
 */
public final class AdmissionGate {

    private final Blackboard blackboard;

    private final AdmissionFreshness freshness;

    private final TimeSource time;

    private final String host;

    private final String gateway;

    private volatile PlannedStop stop = PlannedStop.NONE;

    public AdmissionGate(
            Blackboard blackboard, AdmissionFreshness freshness, TimeSource time, String host, String gateway) {
        this.blackboard = blackboard;
        this.freshness = freshness;
        this.time = time;
        this.host = host;
        this.gateway = gateway;
    }

    /** Stops admitting requests because of a planned stop, or ends that stop. */
    public void drain(PlannedStop planned) {
        stop = planned;
    }

    /** Returns what this gateway, which may stop, still begins. */
    public PlannedStop stop() {
        return stop;
    }

    /** Returns whether a planned stop has begun. */
    public boolean isDraining() {
        return stop.isSignalled();
    }

    /**
     * Checks whether requests may be admitted.
     *
     * @throws CranberrygaugeException If this gateway is stopping, has no configuration, or may not know of withdrawn
     *     keys.
     */
    public void check() throws CranberrygaugeException {
        if (isDraining()) {
            throw new CranberrygaugeException(ErrorCode.NOT_ADMITTING, "this gateway is shutting down");
        }
        if (blackboard.log().configuration().current().version() == 0) {
            throw new CranberrygaugeException(ErrorCode.NOT_ADMITTING, "this gateway has no configuration yet");
        }
        if (!freshness.mayAdmit(time.monotonicMillis(), view())) {
            throw new CranberrygaugeException(
                    ErrorCode.NOT_ADMITTING,
                    "this gateway is isolated or not yet a member, and may not know of withdrawn keys");
        }
    }

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
