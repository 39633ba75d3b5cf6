package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import org.apache.thrift.TException;
import org.cranberrygauge.protocol.generated.UsageBatch;
import org.cranberrygauge.protocol.generated.UsageDecided;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.leader.ControlPlaneClient.ControlPlaneOutcome;
import org.cranberrygauge.proxy.leader.UsageLedger;
import org.cranberrygauge.proxy.store.SharedLog.LogSlice;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;

/**
 * Reports the usage of each window while this host holds the duties.
 *
 * <p>Invariant: the figures of a window are fixed in the shared log before they are reported, so that a later holder repeats
 * them exactly. Used by one thread.
 */
public final class UsageReportController {

    /** The topic with the fixed figures. */
    private static final String DECIDED_TOPIC = "usage-decided";

    /** The pause between looks for work in milliseconds. */
    private static final long TICK_MILLIS = 500;

    /** The time after the end of a window at which its figures are fixed, in milliseconds. */
    private static final long SETTLE_MILLIS = 2_600;

    /** The windows after which a report is given up. */
    private static final int GIVEN_UP_WINDOWS = 6;

    /** The tools. */
    private final ControllerContext tools;

    /** Tells whether this host holds the duties. */
    private final LeaderElection duty;

    /** Takes the reports. */
    private final ControlPlaneClient receiver;

    /** The length of a window in milliseconds. */
    private final long windowMillis;

    /** What all hosts counted. */
    private final UsageLedger ledger = new UsageLedger();

    /** The windows whose reports were accepted. */
    private final TreeSet<Long> reported = new TreeSet<>();

    /** The offset of the next count. */
    private long nextCounted;

    /** The offset of the next fixed figures. */
    private long nextDecided;

    /** Whether work is in progress. */
    private boolean busy;

    /**
     * Creates a desk.
     *
     * @param tools The tools.
     * @param duty Tells whether this host holds the duties.
     * @param receiver Takes the reports.
     * @param windowMillis The length of a window in milliseconds.
     */
    public UsageReportController(
            ControllerContext tools, LeaderElection duty, ControlPlaneClient receiver, long windowMillis) {
        this.tools = tools;
        this.duty = duty;
        this.receiver = receiver;
        this.windowMillis = windowMillis;
    }

    /** Starts to report. */
    public void start() {
        tools.vertx().setPeriodic(TICK_MILLIS, fired -> tick());
    }

    /** Reports the oldest window that is due. */
    private void tick() {
        OptionalLong token = duty.token();
        if (busy || token.isEmpty()) {
            return;
        }
        long newest = Math.floorDiv(tools.time().wallMillis() - SETTLE_MILLIS, windowMillis) - 1;
        if (reported.contains(newest) && !missesEarlier(newest)) {
            return;
        }
        busy = true;
        readDecided()
                .compose(read -> readCounted())
                .compose(read -> reportNext(newest))
                .onFailure(this::noteFailure)
                .onComplete(done -> busy = false);
    }

    /**
     * Tells whether an earlier window is still to be reported.
     *
     * @param newest The newest window that is due.
     * @return Whether one is missing.
     */
    private boolean missesEarlier(long newest) {
        return nextWindow(newest) < newest;
    }

    /**
     * Finds the oldest window that is due and not reported.
     *
     * @param newest The newest window that is due.
     * @return The window, or one after the newest.
     */
    private long nextWindow(long newest) {
        long window = Math.max(ledger.firstWindow(), newest - GIVEN_UP_WINDOWS);
        while (window <= newest && reported.contains(window)) {
            window++;
        }
        return window;
    }

    /**
     * Fixes and reports the oldest window that is due.
     *
     * @param newest The newest window that is due.
     * @return The end of the report.
     */
    private Future<Void> reportNext(long newest) {
        long window = nextWindow(newest);
        if (window > newest) {
            reported.add(newest);
            return Future.succeededFuture();
        }
        Map<String, Long> decided = ledger.decidedFigures(window);
        if (decided != null) {
            return report(window, decided);
        }
        Map<String, Long> total = ledger.total(window);
        byte[] record = MessageCodec.write(new UsageDecided(window, total));
        return tools.log()
                .append(DECIDED_TOPIC, record, OptionalLong.of(nextDecided))
                .compose(offset -> {
                    nextDecided = offset + 1;
                    ledger.recordDecided(window, total);
                    return report(window, total);
                });
    }

    /**
     * Reports a window.
     *
     * @param window The window.
     * @param figures The figures.
     * @return The end of the report.
     */
    private Future<Void> report(long window, Map<String, Long> figures) {
        OptionalLong token = duty.token();
        if (token.isEmpty()) {
            return Future.succeededFuture();
        }
        long fence = token.getAsLong();
        duty.acting();
        return receiver.reportUsage(fence, window, figures).map(answer -> {
            tools.events().emit(new ControlEvents.UsageReported(window, figures, fence, answer.name()));
            if (answer == ControlPlaneOutcome.ACCEPTED) {
                reported.add(window);
            }
            if (answer == ControlPlaneOutcome.FENCED) {
                duty.refused(fence);
            }
            return null;
        });
    }

    /**
     * Reads the counts that are new.
     *
     * @return The end of the read.
     */
    private Future<Void> readCounted() {
        return read(UsageShipper.TOPIC, nextCounted).map(slice -> {
            for (byte[] record : slice.records()) {
                takeCounted(record);
            }
            nextCounted = slice.next();
            return null;
        });
    }

    /**
     * Reads the fixed figures that are new.
     *
     * @return The end of the read.
     */
    private Future<Void> readDecided() {
        return read(DECIDED_TOPIC, nextDecided).map(slice -> {
            for (byte[] record : slice.records()) {
                takeDecided(record);
            }
            nextDecided = slice.next();
            return null;
        });
    }

    /**
     * Reads records, from the first that is kept where earlier ones are gone.
     *
     * @param topic The topic.
     * @param from The offset of the first record.
     * @return The records.
     */
    private Future<LogSlice> read(String topic, long from) {
        return tools.log().read(topic, from, 0).recover(failure -> {
            if (failure instanceof SharedLogException known && known.kind() == Kind.TRIMMED) {
                return tools.log().read(topic, known.firstOffset(), 0);
            }
            return Future.failedFuture(failure);
        });
    }

    /**
     * Takes a record with counts.
     *
     * @param record The record.
     */
    private void takeCounted(byte[] record) {
        try {
            UsageShipper.counts(MessageCodec.read(record, new UsageBatch())).forEach(ledger::recordCount);
        } catch (TException exception) {
            tools.events().emit(new ControlEvents.RecordUnreadable(UsageShipper.TOPIC, "", exception.getMessage()));
        }
    }

    /**
     * Takes a record with fixed figures.
     *
     * @param record The record.
     */
    private void takeDecided(byte[] record) {
        try {
            UsageDecided decided = MessageCodec.read(record, new UsageDecided());
            ledger.recordDecided(decided.getWindow(), decided.getByCustomer());
        } catch (TException exception) {
            tools.events().emit(new ControlEvents.RecordUnreadable(DECIDED_TOPIC, "", exception.getMessage()));
        }
    }

    /**
     * Logs a failure; the work is taken up again at the next look.
     *
     * @param failure The failure.
     */
    private void noteFailure(Throwable failure) {
        tools.events().emit(new ControlEvents.DependencyLost("usage report", String.valueOf(failure.getMessage())));
    }
}
