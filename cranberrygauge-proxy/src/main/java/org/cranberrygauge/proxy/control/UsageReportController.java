package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import org.apache.thrift.TException;
import org.cranberrygauge.protocol.generated.UsageBatch;
import org.cranberrygauge.protocol.generated.UsageDecided;
import org.cranberrygauge.proxy.control.StreamOriginExchange.Timers;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.leader.ControlPlaneClient.ControlPlaneOutcome;
import org.cranberrygauge.proxy.leader.Leadership;
import org.cranberrygauge.proxy.leader.LostDecisions;
import org.cranberrygauge.proxy.leader.UsageLedger;
import org.cranberrygauge.proxy.store.SharedLog.LogSlice;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;

/**
 * Reports the usage of each window while this host is the leader.
 *
 * <p>Invariant: the figures of a window are written to the shared log before they are reported, so that a later leader
 * repeats them exactly. After the log has come back from an older copy, decided figures that it lacks are written again,
 * and a window whose figures another leader may have reported from a lost record is given up. Not thread-safe.
 */
public final class UsageReportController {

    /** The topic with the decided figures. */
    private static final String DECIDED_TOPIC = "usage-decided";

    /** The interval between checks for a due window. */
    private static final long TICK_MILLIS = 500;

    /** The time after the end of a window at which its figures are decided. */
    private static final long SETTLING_MILLIS = 2_600;

    /** The number of windows after which a report is given up. */
    private static final int MAXIMUM_LATE_WINDOWS = 6;

    private final ControllerContext context;

    private final Timers timers;

    private final Leadership leadership;

    private final ControlPlaneClient controlPlane;

    private final long windowMillis;

    private final UsageLedger ledger = new UsageLedger();

    /** The windows whose reports were accepted. */
    private final TreeSet<Long> reported = new TreeSet<>();

    /** The windows whose decided figures the log holds. */
    private final TreeSet<Long> logged = new TreeSet<>();

    /** Tells of which windows the log may have lost the figures. */
    private final LostDecisions lost;

    /** The offset of the next record with counts. */
    private long nextCounted;

    /** The offset of the next record with decided figures. */
    private long nextDecided;

    /** Whether a report is in progress. */
    private boolean busy;

    public UsageReportController(
            ControllerContext context,
            Timers timers,
            Leadership leadership,
            ControlPlaneClient controlPlane,
            long windowMillis) {
        this.context = context;
        this.timers = timers;
        this.leadership = leadership;
        this.controlPlane = controlPlane;
        this.windowMillis = windowMillis;
        this.lost = new LostDecisions(windowMillis, SETTLING_MILLIS);
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

    /** Reads the decided figures before this host leads, so that few windows end before the first read. */
    private void readFirst() {
        busy = true;
        readDecided().onFailure(this::logFailure).onComplete(done -> busy = false);
    }

    /** Reports the windows that are due, unless a report is still in progress. */
    private void tick() {
        if (busy) {
            return;
        }
        if (!lost.isKnown()) {
            readFirst();
            return;
        }
        if (leadership.fencingToken().isEmpty()) {
            return;
        }
        long newest = Math.floorDiv(context.time().wallMillis() - SETTLING_MILLIS, windowMillis) - 1;
        if (reported.contains(newest) && !hasEarlierUnreported(newest)) {
            return;
        }
        busy = true;
        readDecided()
                .compose(read -> writeLostDecided())
                .compose(read -> readCounted())
                .compose(read -> reportDue(newest))
                .onFailure(this::logFailure)
                .onComplete(done -> busy = false);
    }

    /** Reads both topics anew, since their offsets are not valid any longer. */
    private void recordRollback() {
        nextCounted = 0;
        nextDecided = 0;
        logged.clear();
        lost.recordRollback(context.time().wallMillis());
    }

    private boolean hasEarlierUnreported(long newest) {
        return nextWindow(newest) < newest;
    }

    /** Returns the oldest window that is due and not reported, or the one after the newest due window. */
    private long nextWindow(long newest) {
        long window = Math.max(ledger.firstWindow(), newest - MAXIMUM_LATE_WINDOWS);
        while (window <= newest && reported.contains(window)) {
            window++;
        }
        return window;
    }

    /** Reports the due windows one after the other, up to the first one whose report is not accepted. */
    private Future<Void> reportDue(long newest) {
        long window = nextWindow(newest);
        if (window > newest) {
            reported.add(newest);
            return Future.succeededFuture();
        }
        return complete(window)
                .compose(done -> reported.contains(window) ? reportDue(newest) : Future.succeededFuture());
    }

    /** Decides the figures of a window, unless that is done, and reports them, or gives the window up. */
    private Future<Void> complete(long window) {
        Map<String, Long> decided = ledger.decidedFigures(window);
        if (decided != null) {
            return report(window, decided);
        }
        if (lost.mayHaveBeenReported(window)) {
            reported.add(window);
            context.events().emit(new ControlEvents.UsageWindowGivenUp(window));
            return Future.succeededFuture();
        }
        Map<String, Long> total = ledger.total(window);
        return writeDecided(window, total).compose(written -> {
            ledger.recordDecided(window, total);
            return report(window, total);
        });
    }

    /** Writes decided figures that the log has lost, one after the other. */
    private Future<Void> writeLostDecided() {
        logged.retainAll(ledger.decided().keySet());
        for (Map.Entry<Long, Map<String, Long>> decided : ledger.decided().entrySet()) {
            if (!logged.contains(decided.getKey())) {
                return writeDecided(decided.getKey(), decided.getValue()).compose(written -> writeLostDecided());
            }
        }
        return Future.succeededFuture();
    }

    /** Writes decided figures if the log has not grown since it was read. */
    private Future<Void> writeDecided(long window, Map<String, Long> figures) {
        byte[] record = MessageCodec.write(new UsageDecided(window, figures).setEra(era()));
        return context.log()
                .append(DECIDED_TOPIC, record, OptionalLong.of(nextDecided))
                .map(offset -> {
                    nextDecided = offset + 1;
                    logged.add(window);
                    return null;
                });
    }

    private Future<Void> report(long window, Map<String, Long> figures) {
        OptionalLong token = leadership.fencingToken();
        if (token.isEmpty()) {
            return Future.succeededFuture();
        }
        long fencingToken = token.getAsLong();
        leadership.recordAction();
        return controlPlane.reportUsage(fencingToken, window, figures).map(outcome -> {
            context.events().emit(new ControlEvents.UsageReported(window, figures, fencingToken, outcome.name()));
            if (outcome == ControlPlaneOutcome.ACCEPTED) {
                reported.add(window);
            }
            if (outcome == ControlPlaneOutcome.FENCED) {
                leadership.recordFenced(fencingToken);
            }
            return null;
        });
    }

    private Future<Void> readCounted() {
        return read(UsageCountWriter.TOPIC, nextCounted).map(slice -> {
            for (byte[] record : slice.records()) {
                applyCounted(record);
            }
            nextCounted = slice.next();
            return null;
        });
    }

    private Future<Void> readDecided() {
        return read(DECIDED_TOPIC, nextDecided).map(slice -> {
            for (byte[] record : slice.records()) {
                applyDecided(record);
            }
            nextDecided = slice.next();
            lost.recordRead(context.time().wallMillis());
            return null;
        });
    }

    /** Reads all records, from the first retained one if earlier ones were trimmed. */
    private Future<LogSlice> read(String topic, long from) {
        return context.log().readToEnd(topic, from).recover(failure -> {
            if (failure instanceof SharedLogException known && known.kind() == Kind.TRIMMED) {
                return context.log().readToEnd(topic, known.firstOffset());
            }
            return Future.failedFuture(failure);
        });
    }

    private void applyCounted(byte[] record) {
        try {
            UsageCountWriter.counts(MessageCodec.read(record, new UsageBatch())).forEach(ledger::recordCount);
        } catch (TException exception) {
            context.events()
                    .emit(new ControlEvents.RecordUnreadable(UsageCountWriter.TOPIC, "", exception.getMessage()));
        }
    }

    private void applyDecided(byte[] record) {
        try {
            UsageDecided decided = MessageCodec.read(record, new UsageDecided());
            ledger.recordDecided(decided.getWindow(), decided.getByCustomer());
            logged.add(decided.getWindow());
            if (decided.isSetEra() && decided.getEra() == era()) {
                lost.recordStored(decided.getWindow());
            }
        } catch (TException exception) {
            context.events().emit(new ControlEvents.RecordUnreadable(DECIDED_TOPIC, "", exception.getMessage()));
        }
    }

    private long era() {
        return context.log().era().newest();
    }

    /** Logs a failure; the next tick tries again. */
    private void logFailure(Throwable failure) {
        context.events().emit(new ControlEvents.DependencyLost("usage report", String.valueOf(failure.getMessage())));
    }
}
