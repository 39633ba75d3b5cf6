package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.leader.ControlPlaneClient.ControlPlaneOutcome;
import org.cranberrygauge.proxy.leader.Leadership;
import org.cranberrygauge.proxy.leader.UsageDecision;
import org.cranberrygauge.proxy.leader.UsageDecisions;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;
import org.cranberrygauge.proxy.store.StoreEra;

/**
 * Reports the usage of each window while this host is the leader.
 *
 * <p>Invariants: the figures of a window are written to the shared log before they are reported, so that a later leader
 * repeats them exactly; all decisions that the log holds are read before each new one, which is written only if none was
 * written since, so that it does not matter how long this host has not read the log. After the log has come back from an
 * older copy, decided figures that it lacks are written again. Not thread-safe.
 */
public final class UsageReportController {

    /** The interval between checks for a due window. */
    private static final long TICK_MILLIS = 500;

    /** The time after the end of a window at which its figures are decided. */
    private static final long SETTLING_MILLIS = 2_600;

    /** The number of windows after which a report is given up. */
    private static final int MAXIMUM_LATE_WINDOWS = 6;

    /** The time after which hosts that could not reach the log have written the counts that they kept. */
    private static final long REWRITE_MILLIS = SETTLING_MILLIS;

    /** The time after the loss of the leader within which another host decides the windows that are due. */
    private static final long TAKEOVER_MILLIS = 8_000;

    private final ControllerContext context;

    private final Timers timers;

    private final Leadership leadership;

    private final ControlPlaneClient controlPlane;

    private final DecidedUsageTopic decidedTopic;

    private final UsageMetrics metrics;

    private final UsageTimes times;

    private final UsageCountReader counts;

    private final UsageDecisions decisions;

    /** The windows that need no report any more: theirs were accepted, or they are given up. */
    private final TreeSet<Long> completed = new TreeSet<>();

    /** The oldest window that was not given up for its age. */
    private long oldestReportable = Long.MIN_VALUE;

    /** The offset at which the topic with the decisions ended when it was read; empty if it has to be read. */
    private OptionalLong decidedEnd = OptionalLong.empty();

    /** Whether a report is in progress. */
    private boolean busy;

    /** @param decidedTopic The topic with the decided figures, which retains the newest record of each key. */
    public UsageReportController(
            ControllerContext context,
            Timers timers,
            Leadership leadership,
            ControlPlaneClient controlPlane,
            String decidedTopic,
            UsageMetrics metrics,
            UsageTimes times) {
        this.context = context;
        this.timers = timers;
        this.leadership = leadership;
        this.controlPlane = controlPlane;
        this.decidedTopic = new DecidedUsageTopic(context.log(), decidedTopic, context.events());
        this.metrics = metrics;
        this.times = times;
        this.counts = new UsageCountReader(context, times);
        this.decisions = new UsageDecisions(times.windowMillis(), SETTLING_MILLIS);
    }

    public void start() {
        context.log().era().onChange((previous, current) -> recordRollback());
        timers.after(TICK_MILLIS, this::tickAndSchedule);
        readFirst();
    }

    private void tickAndSchedule() {
        timers.after(TICK_MILLIS, this::tickAndSchedule);
        tick();
    }

    /** Reads the decisions before this host leads, so that few windows end before the first read. */
    private void readFirst() {
        perform(readDecided());
    }

    /** Reports the windows that are due, unless a report is still in progress. */
    private void tick() {
        if (busy) {
            return;
        }
        if (!decisions.isInitialized()) {
            readFirst();
            return;
        }
        long newest = Math.floorDiv(now() - SETTLING_MILLIS, times.windowMillis()) - 1;
        boolean due = nextWindow(newest) <= newest || !completed.contains(newest);
        if (due && mayDecide()) {
            perform(readDecided()
                    .compose(read -> restoreDecisions())
                    .compose(restored -> counts.read())
                    .compose(read -> reportDue(newest)));
            return;
        }
        if (needsCounts() && counts.isReadDue()) {
            perform(counts.read());
        }
    }

    /** Tells whether this host leads, and all hosts have had the time to write counts that they kept while the log was away. */
    private boolean mayDecide() {
        return leadership.fencingToken().isPresent()
                && context.time().monotonicMillis() - REWRITE_MILLIS >= leadership.reachesLogSinceMillis();
    }

    /** Blocks further actions until one has ended, and logs its failure; the next tick tries again. */
    private void perform(Future<Void> action) {
        busy = true;
        action.onFailure(failure -> context.events()
                        .emit(new ControlEvents.DependencyLost("usage report", String.valueOf(failure.getMessage()))))
                .onComplete(done -> busy = false);
    }

    /** Tells whether this host needs all counts, now or as soon as the leader is lost. */
    private boolean needsCounts() {
        if (leadership.fencingToken().isPresent()) {
            return true;
        }
        long windowAndTakeover = times.windowMillis() + SETTLING_MILLIS + TAKEOVER_MILLIS;
        return leadership.isCandidate() && times.retentionMillis() < windowAndTakeover;
    }

    /** Reads both topics anew, since their offsets are not valid any longer. */
    private void recordRollback() {
        counts.recordRollback();
        decidedEnd = OptionalLong.empty();
        decisions.recordRollback(now());
    }

    /** Returns the oldest window that is due and not completed, or the one after the newest due window. */
    private long nextWindow(long newest) {
        long first = Math.min(counts.ledger().firstWindow(), decisions.firstWindow());
        long window = Math.max(first, newest - MAXIMUM_LATE_WINDOWS);
        while (window <= newest && completed.contains(window)) {
            window++;
        }
        return window;
    }

    /** Reports the due windows one after the other, up to the first one whose report is not accepted. */
    private Future<Void> reportDue(long newest) {
        giveUpOld(newest - MAXIMUM_LATE_WINDOWS);
        long window = nextWindow(newest);
        if (window > newest) {
            completed.add(newest);
            return Future.succeededFuture();
        }
        return complete(window)
                .compose(done -> completed.contains(window) ? reportDue(newest) : Future.succeededFuture());
    }

    /** Decides the figures of a window, unless that is done, and reports them, or gives the window up. */
    private Future<Void> complete(long window) {
        return switch (decisions.status(window)) {
            case DECIDED -> report(decisions.decision(window).orElseThrow());
            case FORGOTTEN -> giveUp(window, GiveUpReason.DECISION_FORGOTTEN);
            case LOST -> giveUp(window, GiveUpReason.DECISION_LOST);
            case UNDECIDED -> decide(window);
        };
    }

    /** Gives up the windows before the oldest one that is still reported, as far as no host has decided them. */
    private void giveUpOld(long oldest) {
        completed.headSet(oldest).clear();
        long newestDecided = decisions.newestWindow();
        long first = Math.max(newestDecided + 1, oldestReportable);
        oldestReportable = Math.max(oldest, oldestReportable);
        if (newestDecided != Long.MIN_VALUE && first < oldest) {
            recordGivenUp(first, oldest - first, GiveUpReason.TOO_OLD);
        }
    }

    private Future<Void> decide(long window) {
        Optional<Map<String, Long>> total = counts.ledger().total(window);
        if (total.isEmpty()) {
            return giveUp(window, GiveUpReason.COUNTS_FORGOTTEN);
        }
        UsageDecision decision = new UsageDecision(window, total.get(), era());
        return write(decision).compose(written -> report(decision));
    }

    private Future<Void> giveUp(long window, GiveUpReason reason) {
        completed.add(window);
        recordGivenUp(window, 1, reason);
        return Future.succeededFuture();
    }

    private void recordGivenUp(long first, long windows, GiveUpReason reason) {
        metrics.recordGivenUp(reason.name(), windows);
        context.events().emit(new ControlEvents.UsageWindowGivenUp(first, windows, reason.name()));
    }

    /** Writes the decisions that the log has lost, newest first, so that the newest one is never missing beside others. */
    private Future<Void> restoreDecisions() {
        Optional<UsageDecision> lost = decisions.newestLost();
        return lost.isEmpty() ? Future.succeededFuture() : write(lost.get()).compose(written -> restoreDecisions());
    }

    /** Writes a decision if the log holds no other ones than were read. */
    private Future<Void> write(UsageDecision decision) {
        if (decidedEnd.isEmpty()) {
            return Future.failedFuture(
                    new SharedLogException(Kind.ERA_CHANGED, "the log has come back from an older copy"));
        }
        return decidedTopic.write(decision, decidedEnd.getAsLong()).map(end -> {
            decidedEnd = OptionalLong.of(end);
            decisions.recordStored(era(), decision);
            return null;
        });
    }

    private Future<Void> report(UsageDecision decision) {
        OptionalLong token = leadership.fencingToken();
        if (token.isEmpty()) {
            return Future.succeededFuture();
        }
        long fencingToken = token.getAsLong();
        leadership.recordAction();
        return controlPlane
                .reportUsage(fencingToken, decision.window(), decision.byCustomer())
                .map(outcome -> {
                    recordReport(decision, fencingToken, outcome);
                    return null;
                });
    }

    private void recordReport(UsageDecision decision, long fencingToken, ControlPlaneOutcome outcome) {
        metrics.recordReport(outcome.name());
        context.events()
                .emit(new ControlEvents.UsageReported(
                        decision.window(), decision.byCustomer(), fencingToken, outcome.name()));
        if (outcome == ControlPlaneOutcome.ACCEPTED) {
            completed.add(decision.window());
        }
        if (outcome == ControlPlaneOutcome.FENCED) {
            leadership.recordFenced(fencingToken);
        }
    }

    private Future<Void> readDecided() {
        decidedEnd = OptionalLong.empty();
        long era = era();
        return decidedTopic.read().compose(held -> {
            if (era != StoreEra.UNKNOWN && era != era()) {
                return Future.failedFuture(
                        new SharedLogException(Kind.ERA_CHANGED, "the log has come back from an older copy"));
            }
            decisions.recordRead(now(), era(), held.decisions());
            decidedEnd = OptionalLong.of(held.end());
            return Future.succeededFuture();
        });
    }

    private long era() {
        return context.log().era().newest();
    }

    private long now() {
        return context.time().wallMillis();
    }

    /** Why a window is not reported. */
    private enum GiveUpReason {
        /** A record that the log lost by coming back from an older copy may have decided it. */
        DECISION_LOST,
        /** A later window is decided, and the figures of this one are no longer retained. */
        DECISION_FORGOTTEN,
        /** No counts are known, and records with counts may have expired unread. */
        COUNTS_FORGOTTEN,
        /** No host has decided it while its report was of use. */
        TOO_OLD
    }
}
