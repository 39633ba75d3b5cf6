package org.cranberrygauge.decision.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.configuration.ConfigurationMachine;
import org.cranberrygauge.decision.drain.DrainRegister;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.decision.membership.Members;
import org.cranberrygauge.decision.reservation.ReservationVerdict;
import org.cranberrygauge.decision.reservation.Reservations;
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

    /** The offset of the last applied entry. */
    private long offset;

    /** The highest sequence number applied of each writer. */
    private final Map<String, Long> sequences = new HashMap<>();

    /** The configuration. */
    private ConfigurationMachine configuration = ConfigurationMachine.initial();

    /** The lease. */
    private LeaseState lease = LeaseState.initial();

    /** The gateways. */
    private Members members = Members.initial();

    /** The drains. */
    private DrainRegister drains = DrainRegister.initial();

    /** The reserved calls. */
    private final Reservations reservations = new Reservations();

    /** The usage. */
    private final UsageLedger usage = new UsageLedger();

    /** The orders whose outcome is not in the log, by identifier. */
    private final Map<String, LogRecord.OrderIntent> openOrders = new HashMap<>();

    /**
     * Applies an entry.
     *
     * @param entryOffset The offset of the entry.
     * @param appendedAtMillis The time of the append as stated by the log in milliseconds of the epoch.
     * @param entry The entry.
     * @return What became of records that somebody may wait for.
     */
    public List<Effect> apply(long entryOffset, long appendedAtMillis, LogEntry entry) {
        if (entryOffset <= offset) {
            return List.of();
        }
        offset = entryOffset;
        Long seen = sequences.get(entry.writer());
        if (seen != null && entry.sequence() <= seen) {
            return List.of();
        }
        sequences.put(entry.writer(), entry.sequence());
        reservations.expire(
                appendedAtMillis,
                configuration.current().configuration().times().reservationRetentionMillis());
        List<Effect> effects = new ArrayList<>();
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
     * Applies one record.
     *
     * @param record The record.
     * @param effects Takes what became of it.
     */
    private void apply(LogRecord record, List<Effect> effects) {
        if (record instanceof LogRecord.ConfigurationChange change) {
            ConfigurationMachine.Result result = configuration.apply(offset, change);
            configuration = result.machine();
            effects.add(new Effect.ChangeJudged(change.changeId(), change.operator(), offset, result.verdict()));
        } else if (record instanceof LogRecord.LeaseClaim claim) {
            lease = lease.apply(offset, claim);
        } else if (record instanceof LogRecord.LeaseRelease release) {
            lease = lease.apply(release);
        } else if (record instanceof LogRecord.Reservation reservation) {
            ReservationVerdict verdict = reservations.reserve(offset, reservation);
            effects.add(new Effect.ReservationJudged(reservation.reservationId(), verdict));
        } else if (record instanceof LogRecord.ReservationOutcome outcome) {
            reservations.record(outcome);
        } else if (record instanceof LogRecord.ReservationRelease release) {
            reservations.release(release.reservationId());
        } else if (record instanceof LogRecord.OrderIntent intent) {
            boolean valid = intent.fencingNumber() == lease.fencingNumber();
            if (valid) {
                openOrders.put(intent.orderId(), intent);
            }
            effects.add(new Effect.IntentJudged(intent, valid));
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
            members.onHost(joined.host()).ifPresent(replaced -> reservations.gatewayLeft(replaced.gateway()));
            members = members.apply(joined);
        } else if (record instanceof LogRecord.GatewayLeft left) {
            members = members.apply(left);
            reservations.gatewayLeft(left.gateway());
        } else if (record instanceof LogRecord.OrderOutcome outcome) {
            openOrders.remove(outcome.orderId());
        } else if (record instanceof LogRecord.UsageDelta delta) {
            usage.apply(delta);
        } else if (record instanceof LogRecord.WindowClose close) {
            usage.apply(close, lease.fencingNumber());
        } else if (record instanceof LogRecord.WindowReported reported) {
            usage.apply(reported);
        } else if (record instanceof LogRecord.DrainStarted started) {
            drains = drains.apply(started, lease.fencingNumber());
        } else if (record instanceof LogRecord.DrainEnded ended) {
            drains = drains.apply(ended, lease.fencingNumber());
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
    public ConfigurationMachine configuration() {
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
    public Members members() {
        return members;
    }

    /**
     * Returns the drains.
     *
     * @return The drains.
     */
    public DrainRegister drains() {
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
}
