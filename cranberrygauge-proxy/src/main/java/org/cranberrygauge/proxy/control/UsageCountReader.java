package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import org.apache.thrift.TException;
import org.cranberrygauge.protocol.generated.UsageBatch;
import org.cranberrygauge.proxy.leader.UsageLedger;
import org.cranberrygauge.proxy.store.SharedLog.LogSlice;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;

/**
 * Reads the usage counts of all hosts from the shared log.
 *
 * <p>Invariant: the ledger knows since when no record was missed. Not thread-safe.
 */
final class UsageCountReader {

    /** The reads within the time for which the log retains records, so that none expires unread. */
    private static final int READS_PER_RETENTION = 2;

    private final ControllerContext context;

    private final long retentionMillis;

    private final UsageLedger ledger;

    /** The offset of the next record. */
    private long next;

    /** The time in milliseconds since the epoch at which the last read was sent. */
    private long lastReadMillis = Long.MIN_VALUE / 2;

    UsageCountReader(ControllerContext context, UsageTimes times) {
        this.context = context;
        this.retentionMillis = times.retentionMillis();
        this.ledger = new UsageLedger(times.windowMillis(), times.retentionMillis());
    }

    /** Returns the counts that were read. */
    UsageLedger ledger() {
        return ledger;
    }

    /** Tells whether records that were written after the last read may expire soon. */
    boolean isReadDue() {
        return retentionMillis > 0 && now() - lastReadMillis >= retentionMillis / READS_PER_RETENTION;
    }

    /** Records that the log has come back from an older copy, so that offsets are not valid any longer. */
    void recordRollback() {
        next = 0;
    }

    /** Reads all new records, from the first retained one if earlier ones have expired. */
    Future<Void> read() {
        long sentMillis = now();
        return context.log()
                .readToEnd(UsageCountWriter.TOPIC, next)
                .recover(failure -> failure instanceof SharedLogException known && known.kind() == Kind.TRIMMED
                        ? readRetained(sentMillis, known.firstOffset())
                        : Future.failedFuture(failure))
                .map(slice -> {
                    slice.records().forEach(this::apply);
                    next = slice.next();
                    lastReadMillis = sentMillis;
                    return null;
                });
    }

    private Future<LogSlice> readRetained(long sentMillis, long first) {
        ledger.recordSkipped(sentMillis);
        context.events().emit(new ControlEvents.UsageCountsSkipped(next, first));
        return context.log().readToEnd(UsageCountWriter.TOPIC, first);
    }

    private void apply(byte[] record) {
        try {
            UsageCountWriter.counts(MessageCodec.read(record, new UsageBatch())).forEach(ledger::recordCount);
        } catch (TException exception) {
            context.events()
                    .emit(new ControlEvents.RecordUnreadable(UsageCountWriter.TOPIC, "", exception.getMessage()));
        }
    }

    private long now() {
        return context.time().wallMillis();
    }
}
