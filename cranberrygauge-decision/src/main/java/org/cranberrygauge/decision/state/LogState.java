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
 * All state machines that follow the log.
 *
 * <p>Invariants: entries are applied in the order of their offsets, each once; a copy of an entry, recognised by writer
 * and sequence, has no effect; the same prefix gives the same state. One thread applies; the reservations may be read by
 * any thread, and the immutable parts are published by the caller.
 */
public final class LogState {

    /** The time after which no copy of an entry can still arrive in milliseconds. */
    private static final long LONGEST_DELAY_MILLIS = 3_600_000;

    /** The offset of the last applied entry. */
    private long offset;

    /** The time of the log at the last applied entry in milliseconds of the epoch; it never falls. */
    private long logTimeMillis;

    /** How far the entries of each writer were applied, the one that was idle longest first. */
    private final Map<String, WriterPosition> writers = new LinkedHashMap<>();

    /** The configuration. */
    private ConfigurationState configuration = ConfigurationState.initial();

    /** The lease. */
    private LeaseState lease = LeaseState.initial();

    /** The gateways. */
    private Membership members = Membership.initial();

    /** The drains. */
    private DrainState drains = DrainState.initial();

    /** The reserved calls. */
    private final Reservations reservations = new Reservations();

    /** The usage. */
    private final UsageLedger usage = new UsageLedger();

    /** The orders whose outcome is not in the log, by identifier. */
    private final Map<String, LogRecord.OrderIntent> openOrders = new HashMap<>();

    /** The newest whole snapshot in the log. */
    private SnapshotPosition snapshot = SnapshotPosition.none();

    /**
     * Applies an entry.
     *
     * @param entryOffset The offset of the entry.
     * @param appendedAtMillis The time of the append as stated by the log in milliseconds of the epoch.
     * @param entry The entry.
     * @return What became of records that somebody may wait for.
     */
    public List<ApplyResult> apply(long entryOffset, long appendedAtMillis, LogEntry entry) {
        if (entryOffset <= offset) {
            return List.of();
        }
        offset = entryOffset;
        logTimeMillis = Math.max(logTimeMillis, appendedAtMillis);
        forgetOld();
        WriterPosition seen = writers.get(entry.writer());
        if (seen != null && entry.sequence() <= seen.sequence()) {
            return List.of();
        }
        writers.remove(entry.writer());
        writers.put(entry.writer(), new WriterPosition(entry.writer(), entry.sequence(), logTimeMillis));
        List<ApplyResult> effects = new ArrayList<>();
        for (LogRecord record : entry.records()) {
            apply(record, effects);
        }
        return effects;
    }

    /**
     * Passes over an entry that no reader can read.
     *
     * @param entryOffset The offset of the entry.
     */
    public void skip(long entryOffset) {
        offset = Math.max(offset, entryOffset);
    }

    /**
     * Returns all that follows from the log up to the last applied entry.
     *
     * @return The snapshot.
     */
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
     * Goes on from a snapshot, unless more of the log was applied already.
     *
     * @param from The snapshot.
     * @return Whether the state is that of the snapshot.
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

    /** Forgets what is older than any copy can be late, by the time of the log. */
    private void forgetOld() {
        long retentionMillis = configuration.current().configuration().times().reservationRetentionMillis();
        reservations.expire(logTimeMillis, retentionMillis);
        usage.forget(logTimeMillis - Math.max(retentionMillis, LONGEST_DELAY_MILLIS), members);
        Iterator<WriterPosition> idle = writers.values().iterator();
        while (idle.hasNext() && idle.next().appendedAtMillis() + LONGEST_DELAY_MILLIS < logTimeMillis) {
            idle.remove();
        }
    }

    /**
     * Applies one record.
     *
     * @param record The record.
     * @param effects Takes what became of it.
     */
    private void apply(LogRecord record, List<ApplyResult> effects) {
        if (record instanceof LogRecord.ConfigurationChange change) {
            ConfigurationState.Result result = configuration.apply(offset, change);
            configuration = result.machine();
            effects.add(new ApplyResult.ChangeResult(change.changeId(), change.operator(), offset, result.verdict()));
        } else if (record instanceof LogRecord.LeaseClaim claim) {
            lease = lease.apply(offset, claim);
        } else if (record instanceof LogRecord.LeaseRelease release) {
            lease = lease.apply(release);
        } else if (record instanceof LogRecord.Reservation reservation) {
            ReservationDecision verdict = reservations.reserve(offset, logTimeMillis, reservation);
            effects.add(new ApplyResult.ReservationResult(reservation.reservationId(), verdict));
        } else if (record instanceof LogRecord.ReservationOutcome outcome) {
            reservations.record(outcome);
        } else if (record instanceof LogRecord.ReservationRelease release) {
            boolean freed = reservations.release(logTimeMillis, release.reservationId());
            effects.add(new ApplyResult.ReleaseResult(release.reservationId(), release.operator(), freed));
        } else if (record instanceof LogRecord.OrderIntent intent) {
            boolean valid = intent.fencingNumber() == lease.fencingNumber() && !lease.released();
            if (valid) {
                openOrders.put(intent.orderId(), intent);
            }
            effects.add(new ApplyResult.IntentResult(intent, valid));
        } else {
            applyControl(record);
        }
    }

    /**
     * Applies a record of membership, orders, usage or drains.
     *
     * @param record The record.
     */
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

    /**
     * Returns the configuration.
     *
     * @return The state machine.
     */
    public ConfigurationState configuration() {
        return configuration;
    }

    /**
     * Returns the lease.
     *
     * @return The lease.
     */
    public LeaseState lease() {
        return lease;
    }

    /**
     * Returns the gateways.
     *
     * @return The members.
     */
    public Membership members() {
        return members;
    }

    /**
     * Returns the drains.
     *
     * @return The drains.
     */
    public DrainState drains() {
        return drains;
    }

    /**
     * Returns the reserved calls.
     *
     * @return The reservations.
     */
    public Reservations reservations() {
        return reservations;
    }

    /**
     * Returns the usage.
     *
     * @return The usage.
     */
    public UsageLedger usage() {
        return usage;
    }

    /**
     * Returns the orders whose outcome is not in the log.
     *
     * @return The intents by identifier.
     */
    public Map<String, LogRecord.OrderIntent> openOrders() {
        return Map.copyOf(openOrders);
    }

    /**
     * Returns the time of the log at the last applied entry.
     *
     * @return The time in milliseconds of the epoch.
     */
    public long logTimeMillis() {
        return logTimeMillis;
    }

    /**
     * Returns the newest whole snapshot in the log.
     *
     * @return The mark.
     */
    public SnapshotPosition snapshot() {
        return snapshot;
    }
}
