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
 * The state derived from the log up to an offset.
 *
 * <p>Invariants: a snapshot is a function of the log's prefix only, so it is correct whoever wrote it, including a
 * former lease holder; a state restored from it behaves like one that applied the whole prefix. Immutable and
 * thread-safe.
 *
 * @param offset The offset of the last applied entry.
 * @param logTimeMillis The log time at that entry in milliseconds since the epoch.
 * @param reservations The current reservations in the order of reservation.
 * @param writers The last applied position of each writer, least recently active first.
 * @param openOrders The orders without a recorded outcome.
 * @param previous The newest complete snapshot before this one.
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

    public Snapshot {
        members = List.copyOf(members);
        reservations = List.copyOf(reservations);
        writers = List.copyOf(writers);
        openOrders = List.copyOf(openOrders);
    }
}
