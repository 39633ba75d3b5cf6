package org.cranberrygauge.proxy.control;

import java.util.OptionalLong;
import org.cranberrygauge.proxy.leader.LeaderLease;
import org.cranberrygauge.proxy.leader.Leadership;

/**
 * Elects one host as the leader through membership in a group of the shared log: the member that is assigned the first
 * partition of the group's topic leads.
 *
 * <p>Only hosts that read the shared log for their data centre are candidates, and the current leader. Not thread-safe.
 */
public final class LeaderElection implements Leadership {

    /** The group, and the topic whose first partition stands for leadership. */
    private static final String GROUP = "cranberrygauge-duty";

    /** The interval between joins, which serve as heartbeats. */
    private static final long JOIN_INTERVAL_MILLIS = 900;

    /** The time before the membership expires at which the leader stops to act. */
    private static final long SAFETY_MARGIN_MILLIS = 400;

    /** The delay before the first join, in which the other hosts become known. */
    private static final long INITIAL_DELAY_MILLIS = 1_000;

    /** The time for which a host remains a candidate after it last read the log for its data centre. */
    private static final long STANDBY_MILLIS = 30_000;

    private final ControllerContext context;

    /** Tells whether this host reads the log for its data centre. */
    private final TopicRelay relay;

    /** The incarnation of this host. */
    private final String member;

    /** The time without a join after which the membership expires. */
    private final long lifetimeMillis;

    private final LeaderLease lease;

    private final DependencyMonitor monitor;

    /** The token that was last logged; -1 if this host was not the leader. */
    private long loggedToken = -1;

    /** The monotonic time until which this host is a candidate. */
    private long standbyUntilMillis = Long.MIN_VALUE;

    /** The monotonic time of the last successful join. */
    private long lastJoinMillis = Long.MIN_VALUE / 2;

    /** The monotonic time of the first successful join after the last gap between them. */
    private long reachesLogSinceMillis = Long.MAX_VALUE;

    /** Whether the host has left the group. */
    private boolean left;

    /**
     * @param member The incarnation of this host.
     * @param leaseMillis The time in milliseconds after which a previous leader has certainly stopped.
     */
    public LeaderElection(ControllerContext context, TopicRelay relay, String member, long leaseMillis) {
        this.context = context;
        this.relay = relay;
        this.member = member;
        this.lifetimeMillis = leaseMillis;
        this.lease = new LeaderLease(context.time().monotonicMillis(), leaseMillis, leaseMillis - SAFETY_MARGIN_MILLIS);
        this.monitor = new DependencyMonitor("duty group", context.events());
    }

    /** Starts to join periodically. */
    public void start() {
        context.log().era().onChange((previous, current) -> {
            lease.recordRollback(context.time().monotonicMillis());
            logChange();
        });
        context.vertx().setTimer(INITIAL_DELAY_MILLIS, fired -> joinOrStandBy());
    }

    /** Joins the group, or renews the membership, if this host is a candidate or the leader. */
    private void joinOrStandBy() {
        if (left) {
            return;
        }
        long sentMillis = context.time().monotonicMillis();
        if (relay.reader().isEmpty()) {
            standbyUntilMillis = sentMillis + STANDBY_MILLIS;
        }
        if (!isCandidate()) {
            logChange();
            context.vertx().setTimer(JOIN_INTERVAL_MILLIS, fired -> joinOrStandBy());
            return;
        }
        long sentWallMillis = context.time().wallMillis();
        context.log()
                .join(GROUP, member, GROUP, lifetimeMillis, lease.generation())
                .onSuccess(assignment -> {
                    recordJoin(context.time().monotonicMillis());
                    if (assignment.era() != context.log().era().newest()) {
                        return;
                    }
                    lease.recordJoin(sentMillis, sentWallMillis, assignment);
                })
                .onFailure(failure ->
                        monitor.recordFailure(context.time().monotonicMillis(), String.valueOf(failure.getMessage())))
                .onComplete(done -> {
                    logChange();
                    context.vertx().setTimer(JOIN_INTERVAL_MILLIS, fired -> joinOrStandBy());
                });
    }

    private void recordJoin(long nowMillis) {
        monitor.recordSuccess(nowMillis);
        if (nowMillis - lastJoinMillis >= lifetimeMillis) {
            reachesLogSinceMillis = nowMillis;
        }
        lastJoinMillis = nowMillis;
    }

    /** Leaves the group, so that another host becomes the leader at once. */
    public void leave() {
        left = true;
        context.log().leave(GROUP, member);
    }

    @Override
    public OptionalLong fencingToken() {
        return left
                ? OptionalLong.empty()
                : lease.fencingToken(
                        context.time().monotonicMillis(), context.time().wallMillis());
    }

    @Override
    public boolean isCandidate() {
        return context.time().monotonicMillis() < standbyUntilMillis
                || fencingToken().isPresent();
    }

    @Override
    public long reachesLogSinceMillis() {
        return reachesLogSinceMillis;
    }

    @Override
    public void recordAction() {
        lease.recordAction(context.time().monotonicMillis());
    }

    @Override
    public void recordFenced(long fencedToken) {
        lease.recordFenced(fencedToken);
    }

    /** Logs when leadership is gained or lost. */
    private void logChange() {
        long fencingToken = fencingToken().orElse(-1);
        if (fencingToken != loggedToken) {
            loggedToken = fencingToken;
            context.events().emit(new ControlEvents.DutyChanged(fencingToken >= 0, fencingToken));
        }
    }
}
