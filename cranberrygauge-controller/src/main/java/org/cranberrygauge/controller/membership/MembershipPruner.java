package org.cranberrygauge.controller.membership;

import java.util.Map;
import org.cranberrygauge.controller.ControlAppender;
import org.cranberrygauge.controller.ControllerEvents;
import org.cranberrygauge.decision.fleet.DemandEstimator.GatewayLoad;
import org.cranberrygauge.decision.lease.LeaderElector;
import org.cranberrygauge.decision.membership.GatewayFailureDetector;
import org.cranberrygauge.decision.membership.GatewayMember;
import org.cranberrygauge.decision.membership.HostLivenessTracker;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.record.LogRecord.GatewayLeft;
import org.cranberrygauge.protocol.platform.Platform;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Declares gateways gone whose hosts the platform no longer lists, so that changes can be accepted without them.
 *
 * <p>Invariants: a gateway is declared gone only while the lease is held, and at most once while its record is unread; an
 * outage of the platform makes none gone. Used on the context of the log follower.
 */
public final class MembershipPruner {

    /** The start of the purposes under which records are appended. */
    private static final String PURPOSE = "gateway-gone ";

    /** Decides which gateways are gone. */
    private final GatewayFailureDetector rule;

    /** The platform. */
    private final Platform platform;

    /** The follower, on whose context answers are taken. */
    private final LogFollower follower;

    /** Decides whether this controller holds the lease. */
    private final LeaderElector lease;

    /** Appends the records of control. */
    private final ControlAppender appender;

    /** The sources of time. */
    private final TimeSource time;

    /** The event log. */
    private final EventLog events;

    /** When hosts were last listed and heard. */
    private final HostLivenessTracker sightings = new HostLivenessTracker();

    /**
     * Creates a desk.
     *
     * @param rule Decides which gateways are gone.
     * @param platform The platform.
     * @param follower The follower, on whose context answers are taken.
     * @param lease Decides whether this controller holds the lease.
     * @param appender Appends the records of control.
     * @param time The sources of time.
     * @param events The event log.
     */
    public MembershipPruner(
            GatewayFailureDetector rule,
            Platform platform,
            LogFollower follower,
            LeaderElector lease,
            ControlAppender appender,
            TimeSource time,
            EventLog events) {
        this.rule = rule;
        this.platform = platform;
        this.follower = follower;
        this.lease = lease;
        this.appender = appender;
        this.time = time;
        this.events = events;
    }

    /**
     * Notes the gateways that were heard, and reads the platform's list.
     *
     * @param state The state machines.
     * @param loads The gateways that answered lately.
     */
    public void tick(LogState state, Map<String, GatewayLoad> loads) {
        for (GatewayMember member : state.members().all()) {
            GatewayLoad load = loads.get(member.gateway());
            if (load != null) {
                sightings.heard(load.atMillis(), member.host());
            }
        }
        platform.entryHosts()
                .thenAccept(hosts -> follower.onContext(later -> {
                    sightings.listed(time.monotonicMillis(), hosts);
                    declare(later);
                }));
    }

    /**
     * Appends the end of the gateways that are gone.
     *
     * @param state The state machines.
     */
    private void declare(LogState state) {
        long nowMillis = time.monotonicMillis();
        if (!lease.holds(nowMillis)) {
            return;
        }
        for (GatewayLeft left : rule.decide(nowMillis, state.members(), sightings.of(nowMillis, state.members()))) {
            appender.append(PURPOSE + left.gateway(), left)
                    .ifPresent(appended ->
                            events.emit(new ControllerEvents.GatewayDeclaredGone(left.gateway(), left.reason())));
        }
    }
}
