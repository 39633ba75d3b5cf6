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
 * Removes gateways from membership when the platform no longer lists their hosts, so that configuration changes need
 * not wait for their confirmation.
 *
 * <p>Invariants: a gateway is removed only while the lease is held, and only once while its record is still to be read
 * back; a platform outage removes none. Used on the context of the log follower.
 */
public final class MembershipPruner {

    private static final String KEY_PREFIX = "gateway-gone ";

    private final GatewayFailureDetector failureDetector;

    private final Platform platform;

    private final LogFollower follower;

    private final LeaderElector leaderElector;

    private final ControlAppender appender;

    private final TimeSource time;

    private final EventLog events;

    private final HostLivenessTracker livenessTracker = new HostLivenessTracker();

    public MembershipPruner(
            GatewayFailureDetector failureDetector,
            Platform platform,
            LogFollower follower,
            LeaderElector leaderElector,
            ControlAppender appender,
            TimeSource time,
            EventLog events) {
        this.failureDetector = failureDetector;
        this.platform = platform;
        this.follower = follower;
        this.leaderElector = leaderElector;
        this.appender = appender;
        this.time = time;
        this.events = events;
    }

    /**
     * Records which gateways responded, and requests the platform's list of hosts in order to remove gateways.
     *
     * @param loads The gateways that responded recently.
     */
    public void tick(LogState state, Map<String, GatewayLoad> loads) {
        for (GatewayMember member : state.members().all()) {
            GatewayLoad load = loads.get(member.gateway());
            if (load != null) {
                livenessTracker.recordReport(load.atMillis(), member.host());
            }
        }
        platform.entryHosts()
                .thenAccept(hosts -> follower.onContext(later -> {
                    livenessTracker.listed(time.monotonicMillis(), hosts);
                    removeFailedGateways(later);
                }));
    }

    private void removeFailedGateways(LogState state) {
        long nowMillis = time.monotonicMillis();
        if (!leaderElector.holds(nowMillis)) {
            return;
        }
        for (GatewayLeft left :
                failureDetector.decide(nowMillis, state.members(), livenessTracker.of(nowMillis, state.members()))) {
            appender.append(KEY_PREFIX + left.gateway(), left)
                    .ifPresent(appended ->
                            events.emit(new ControllerEvents.GatewayDeclaredGone(left.gateway(), left.reason())));
        }
    }
}
