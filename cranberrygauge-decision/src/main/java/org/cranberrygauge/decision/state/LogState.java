package org.cranberrygauge.decision.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.decision.membership.Membership;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.decision.reservation.Reservations;
import org.cranberrygauge.decision.snapshot.Snapshot;
import org.cranberrygauge.decision.snapshot.SnapshotPosition;
import org.cranberrygauge.decision.snapshot.WriterPosition;
import org.cranberrygauge.decision.usage.UsageLedger;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;

/**
 * The state machines that are driven by the log.
 *
 * <p>Invariants: entries are applied in the order of their offsets, each once; a duplicate of an entry, recognized by
 * writer and sequence number, has no effect; the same prefix gives the same state. One thread applies entries. Any
 * thread may read the reservations; the immutable parts are published by the caller.
 */
public final class LogState {

    /** The time after which no duplicate of an entry can still arrive, in milliseconds. */
    private static final long MAXIMUM_DUPLICATE_DELAY_MILLIS = 3_600_000;

    /** The offset of the last applied entry; 0 before any. */
    private long offset;

    /** The log time at the last applied entry, in milliseconds since the epoch; never decreases. */
    private long logTimeMillis;

    /** The last applied position of each writer, least recently active first. */
    private final Map<String, WriterPosition> writers = new LinkedHashMap<>();

    private ConfigurationState configuration = ConfigurationState.initial();

    private LeaseState lease = LeaseState.initial();

    private Membership members = Membership.initial();

    private DrainState drains = DrainState.initial();

    private final Reservations reservations = new Reservations();

    private final UsageLedger usage = new UsageLedger();

    /** The orders without a recorded outcome, by identifier. */
    private final Map<String, LogRecord.OrderIntent> openOrders = new HashMap<>();

    /** The newest complete snapshot in the log. */
    private SnapshotPosition snapshot = SnapshotPosition.none();

    /**
     * Applies an entry.
     *
     * @param appendedAtMillis The time of the append as stated by the log, in milliseconds since the epoch.
     * @return The results of the records that a process may be waiting for.
     */
    public List<ApplyResult> apply(long entryOffset, long appendedAtMillis, LogEntry entry) {
        if (entryOffset <= offset) {
            return List.of();
        }
        offset = entryOffset;
        logTimeMillis = Math.max(logTimeMillis, appendedAtMillis);
        expireOldState();
        WriterPosition lastApplied = writers.get(entry.writer());
        if (lastApplied != null && entry.sequence() <= lastApplied.sequence()) {
            return List.of();
        }
        writers.remove(entry.writer());
        writers.put(entry.writer(), new WriterPosition(entry.writer(), entry.sequence(), logTimeMillis));
        List<ApplyResult> results = new ArrayList<>();
        for (LogRecord record : entry.records()) {
            apply(record, results);
        }
        return results;
    }

    /** Skips an entry that cannot be decoded. */
    public void skip(long entryOffset) {
        offset = Math.max(offset, entryOffset);
    }

    /** Returns a snapshot of the state after the last applied entry. */
    public Snapshot export() {
        return new Snapshot(
                offset,
                logTimeMillis,
                configuration,
                lease,
                List.copyOf(members.all()),
                drains,
                reservations.export(),
                usage.export(),
                List.copyOf(writers.values()),
                List.copyOf(openOrders.values()),
                snapshot);
    }

    /**
     * Continues from a snapshot, unless more of the log was already applied.
     *
     * @return {@code true} if the snapshot was restored.
     */
    public boolean restore(Snapshot from) {
        if (from.offset() <= offset) {
            return false;
        }
        offset = from.offset();
        logTimeMillis = from.logTimeMillis();
        configuration = from.configuration();
        lease = from.lease();
        members = Membership.of(from.members());
        drains = from.drains();
        reservations.restore(from.reservations());
        usage.restore(from.usage());
        writers.clear();
        from.writers().forEach(position -> writers.put(position.writer(), position));
        openOrders.clear();
        from.openOrders().forEach(intent -> openOrders.put(intent.orderId(), intent));
        snapshot = from.previous();
        return true;
    }

    /** Removes state that is older than the longest delay of a duplicate, by the time of the log. */
    private void expireOldState() {
        long retentionMillis = configuration.current().configuration().times().reservationRetentionMillis();
        reservations.expire(logTimeMillis, retentionMillis);
        usage.forget(logTimeMillis - Math.max(retentionMillis, MAXIMUM_DUPLICATE_DELAY_MILLIS), members);
        Iterator<WriterPosition> idle = writers.values().iterator();
        while (idle.hasNext() && idle.next().appendedAtMillis() + MAXIMUM_DUPLICATE_DELAY_MILLIS < logTimeMillis) {
            idle.remove();
        }
    }

    /**
     * Applies one record.
     *
     * @param results Collects the results.
     */
    private void apply(LogRecord record, List<ApplyResult> results) {
        if (record instanceof LogRecord.ConfigurationChange change) {
            ConfigurationState.Result result = configuration.apply(offset, change);
            configuration = result.state();
            results.add(new ApplyResult.ChangeResult(change.changeId(), change.operator(), offset, result.verdict()));
        } else if (record instanceof LogRecord.LeaseClaim claim) {
            lease = lease.apply(offset, claim);
        } else if (record instanceof LogRecord.LeaseRelease release) {
            lease = lease.apply(release);
        } else if (record instanceof LogRecord.Reservation reservation) {
            ReservationDecision decision = reservations.reserve(offset, logTimeMillis, reservation);
            results.add(new ApplyResult.ReservationResult(reservation.reservationId(), decision));
        } else if (record instanceof LogRecord.ReservationOutcome outcome) {
            reservations.record(outcome);
        } else if (record instanceof LogRecord.ReservationRelease release) {
            boolean freed = reservations.release(logTimeMillis, release.reservationId());
            results.add(new ApplyResult.ReleaseResult(release.reservationId(), release.operator(), freed));
        } else if (record instanceof LogRecord.OrderIntent intent) {
            boolean valid = intent.fencingNumber() == lease.fencingNumber() && !lease.released();
            if (valid) {
                openOrders.put(intent.orderId(), intent);
            }
            results.add(new ApplyResult.IntentResult(intent, valid));
        } else {
            applyControl(record);
        }
    }

    /** Applies a record of membership, orders, usage, drains or snapshots. */
    private void applyControl(LogRecord record) {
        if (record instanceof LogRecord.GatewayJoined joined) {
            members.onHost(joined.host())
                    .filter(replaced -> !replaced.gateway().equals(joined.gateway()))
                    .ifPresent(replaced -> reservations.gatewayLeft(replaced.gateway()));
            members = members.apply(joined);
        } else if (record instanceof LogRecord.GatewayLeft left) {
            members = members.apply(left);
            reservations.gatewayLeft(left.gateway());
        } else if (record instanceof LogRecord.OrderOutcome outcome) {
            openOrders.remove(outcome.orderId());
        } else if (record instanceof LogRecord.UsageDelta delta) {
            usage.apply(logTimeMillis, delta);
        } else if (record instanceof LogRecord.WindowClose close) {
            usage.apply(close, lease.fencingNumber());
        } else if (record instanceof LogRecord.WindowReported reported) {
            usage.apply(reported);
        } else if (record instanceof LogRecord.DrainStarted started) {
            drains = drains.apply(started, lease.fencingNumber());
        } else if (record instanceof LogRecord.DrainEnded ended) {
            drains = drains.apply(ended, lease.fencingNumber());
        } else if (record instanceof LogRecord.SnapshotPart part && part.index() == part.count() - 1) {
            snapshot = new SnapshotPosition(Math.max(snapshot.throughOffset(), part.throughOffset()), logTimeMillis);
        }
    }

    /**
     * Returns the offset of the last applied entry.
     *
     * @return The offset; 0 before any.
     */
    public long offset() {
        return offset;
    }

    public ConfigurationState configuration() {
        return configuration;
    }

    public LeaseState lease() {
        return lease;
    }

    public Membership members() {
        return members;
    }

    public DrainState drains() {
        return drains;
    }

    public Reservations reservations() {
        return reservations;
    }

    public UsageLedger usage() {
        return usage;
    }

    /** Returns the orders without a recorded outcome, by identifier. */
    public Map<String, LogRecord.OrderIntent> openOrders() {
        return Map.copyOf(openOrders);
    }

    /**
     * Returns the log time at the last applied entry.
     *
     * @return The time in milliseconds since the epoch.
     */
    public long logTimeMillis() {
        return logTimeMillis;
    }

    /** Returns the position of the newest complete snapshot in the log. */
    public SnapshotPosition snapshot() {
        return snapshot;
    }
}
