package org.cranberrygauge.decision.snapshot;

import java.util.List;
import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.decision.membership.GatewayMember;
import org.cranberrygauge.decision.reservation.ReservationState;
import org.cranberrygauge.decision.usage.UsageLedger;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;

/**
 * All that follows from the log up to an offset.
 *
 * <p>Invariants: it is a function of the log's prefix only, so that it is right whoever wrote it, a former lease holder
 * included; a state restored from it goes on as one that applied the whole prefix. Immutable and safe for use by several
 * threads.
 *
 * @param offset The offset of the last entry that it holds.
 * @param logTimeMillis The time of the log at that entry in milliseconds of the epoch.
 * @param configuration The configuration.
 * @param lease The lease.
 * @param members The gateways.
 * @param drains The drains.
 * @param reservations The remembered reservations in the order in which they were reserved.
 * @param usage The usage.
 * @param writers How far the entries of each writer were applied, the one that was idle longest first.
 * @param openOrders The orders whose outcome is not in the log.
 * @param previous The newest whole snapshot before it.
 */
public record Snapshot(
        long offset,
        long logTimeMillis,
        ConfigurationState configuration,
        LeaseState lease,
        List<GatewayMember> members,
        DrainState drains,
        List<ReservationState> reservations,
        UsageLedger.Totals usage,
        List<WriterPosition> writers,
        List<OrderIntent> openOrders,
        SnapshotPosition previous) {

    /** Copies the lists. */
    public Snapshot {
        members = List.copyOf(members);
        reservations = List.copyOf(reservations);
        writers = List.copyOf(writers);
        openOrders = List.copyOf(openOrders);
    }
}
