package org.cranberrygauge.proxy.control;

import java.util.OptionalLong;
import org.cranberrygauge.proxy.leader.LeaderLease;

/**
 * Keeps this host in the group that deals the duties, and tells whether it holds them.
 *
 * <p>Only hosts that read the shared log for their data centre stand by, and those that hold the duties.
 *
 * <p>Used by one thread.
 */
public final class LeaderElection {

    /** The group, and the topic whose first part stands for the duties. */
    private static final String GROUP = "cranberrygauge-duty";

    /** The pause between joins in milliseconds. */
    private static final long PAUSE_MILLIS = 900;

    /** The time that is left unused before the membership lapses, in milliseconds. */
    private static final long MARGIN_MILLIS = 400;

    /** The pause before the first join, in which the other hosts become known, in milliseconds. */
    private static final long FIRST_MILLIS = 1_000;

    /** The time for which a host stays in the group after it last read the log for its data centre, in milliseconds. */
    private static final long STANDBY_MILLIS = 30_000;

    /** The tools. */
    private final ControllerContext tools;

    /** Tells which host reads the log; only such hosts stand by for the duties. */
    private final TopicRelay relay;

    /** The name of this start of the host. */
    private final String member;

    /** The lifetime of the membership in milliseconds. */
    private final long lifetimeMillis;

    /** Decides whether the host may act. */
    private final LeaderLease lease;

    /** Notes when the group can't be joined. */
    private final DependencyMonitor watch;

    /** The token that was last logged, or -1 if the duties were not held. */
    private long loggedToken = -1;

    /** The monotonic time up to which this host stands by. */
    private long standbyUntilMillis = Long.MIN_VALUE;

    /** Whether the host has left the group. */
    private boolean left;

    /**
     * Creates a keeper.
     *
     * @param tools The tools.
     * @param relay Tells which host reads the log.
     * @param member The name of this start of the host.
     * @param leaseMillis The time after which an earlier holder has surely stopped, in milliseconds.
     */
    public LeaderElection(ControllerContext tools, TopicRelay relay, String member, long leaseMillis) {
        this.tools = tools;
        this.relay = relay;
        this.member = member;
        this.lifetimeMillis = leaseMillis;
        this.lease = new LeaderLease(tools.time().monotonicMillis(), leaseMillis, leaseMillis - MARGIN_MILLIS);
        this.watch = new DependencyMonitor("duty group", tools.events());
    }

    /** Starts to join again and again. */
    public void start() {
        tools.vertx().setTimer(FIRST_MILLIS, fired -> run());
    }

    /** Joins, or stays in the group, if this host stands by. */
    private void run() {
        if (left) {
            return;
        }
        long sentMillis = tools.time().monotonicMillis();
        if (relay.reader().isEmpty()) {
            standbyUntilMillis = sentMillis + STANDBY_MILLIS;
        }
        if (sentMillis >= standbyUntilMillis && token().isEmpty()) {
            logChange();
            tools.vertx().setTimer(PAUSE_MILLIS, fired -> run());
            return;
        }
        long sentWallMillis = tools.time().wallMillis();
        tools.log()
                .join(GROUP, member, GROUP, lifetimeMillis, lease.generation())
                .onSuccess(share -> {
                    watch.reached(tools.time().monotonicMillis());
                    lease.recordJoin(sentMillis, sentWallMillis, share);
                })
                .onFailure(
                        failure -> watch.failed(tools.time().monotonicMillis(), String.valueOf(failure.getMessage())))
                .onComplete(done -> {
                    logChange();
                    tools.vertx().setTimer(PAUSE_MILLIS, fired -> run());
                });
    }

    /** Leaves the group, so that another host takes the duties at once. */
    public void leave() {
        left = true;
        tools.log().leave(GROUP, member);
    }

    /**
     * Returns the fencing token while this host may act.
     *
     * @return The token, or nothing if it may not act.
     */
    public OptionalLong token() {
        return left
                ? OptionalLong.empty()
                : lease.fencingToken(
                        tools.time().monotonicMillis(), tools.time().wallMillis());
    }

    /** Notes that this host acts. */
    public void acting() {
        lease.recordAction(tools.time().monotonicMillis());
    }

    /**
     * Notes that a token was refused.
     *
     * @param token The token.
     */
    public void refused(long token) {
        lease.recordFenced(token);
    }

    /** Logs when the duties are taken or lost. */
    private void logChange() {
        long token = token().orElse(-1);
        if (token != loggedToken) {
            loggedToken = token;
            tools.events().emit(new ControlEvents.DutyChanged(token >= 0, token));
        }
    }
}
