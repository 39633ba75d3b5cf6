package org.cranberrygauge.gateway.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.apache.thrift.TException;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.decision.quarantine.Quarantine;
import org.cranberrygauge.decision.quarantine.QuarantineObservation;
import org.cranberrygauge.gateway.usage.UsageReplicator;
import org.cranberrygauge.protocol.generated.GatewayExchange;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.protocol.generated.LogSlice;
import org.cranberrygauge.protocol.generated.LogSliceEntry;
import org.cranberrygauge.protocol.platform.PlatformLog.StoredEntry;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.state.ProcessState;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * What a gateway answers to its peers.
 *
 * <p>Safe for use by several threads.
 */
public final class ExchangeService implements GatewayExchange.Iface {

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The follower of the log. */
    private final LogFollower follower;

    /** Builds the report of this gateway. */
    private final Supplier<GatewayReport> ownReport;

    /** Takes copies of usage from peers. */
    private final UsageReplicator usageCopies;

    /** The sources of time. */
    private final TimeSource time;

    /** Takes in what peers tell of suspected requests. */
    private final Quarantine quarantine;

    /** Acts on what peers told of suspected requests. */
    private final Runnable onSuspects;

    /**
     * Creates the service.
     *
     * @param blackboard The blackboard.
     * @param follower The follower of the log.
     * @param ownReport Builds the report of this gateway.
     * @param usageCopies Takes copies of usage from peers.
     * @param time The sources of time.
     * @param quarantine Takes in what peers tell of suspected requests.
     * @param onSuspects Acts on what peers told of suspected requests.
     */
    public ExchangeService(
            ProcessState blackboard,
            LogFollower follower,
            Supplier<GatewayReport> ownReport,
            UsageReplicator usageCopies,
            TimeSource time,
            Quarantine quarantine,
            Runnable onSuspects) {
        this.blackboard = blackboard;
        this.follower = follower;
        this.ownReport = ownReport;
        this.usageCopies = usageCopies;
        this.time = time;
        this.quarantine = quarantine;
        this.onSuspects = onSuspects;
    }

    @Override
    public GatewayReport exchange(GatewayReport report) throws TException {
        take(report);
        if (!usageCopies.take(report)) {
            throw new TException("the copy of usage can't be held");
        }
        return ownReport.get();
    }

    @Override
    public GatewayReport status() {
        return usageCopies.withSignals(ownReport.get());
    }

    @Override
    public LogSlice readLog(long afterOffset, int limit) {
        List<LogSliceEntry> entries = new ArrayList<>();
        for (StoredEntry entry : follower.keptAfter(afterOffset, limit)) {
            entries.add(new LogSliceEntry(entry.offset(), entry.appendedAtMillis(), entry.payload()));
        }
        return new LogSlice(entries, blackboard.position().offset(), logAgeMillis());
    }

    /**
     * Takes in the report of a peer.
     *
     * @param report The report.
     */
    public void take(GatewayReport report) {
        List<QuarantineObservation> observations = ObservationCodec.read(report.getQuarantined());
        quarantine.heard(time.monotonicMillis(), report.getGateway(), observations);
        if (!observations.isEmpty()) {
            onSuspects.run();
        }
        blackboard
                .peers()
                .put(
                        report.getHost(),
                        new PeerReport(
                                report.getGateway(),
                                time.monotonicMillis(),
                                report.getConfigurationVersion(),
                                report.getLogOffset(),
                                report.getLogAgeMillis(),
                                report.getInFlight(),
                                report.isDraining(),
                                report.getWaiting()));
    }

    /**
     * Writes what this gateway tells its peers of suspected requests.
     *
     * @return The texts of a report.
     */
    public List<String> suspects() {
        return ObservationCodec.write(quarantine.observations(time.monotonicMillis()));
    }

    /**
     * Returns the time since this gateway read the log's end.
     *
     * @return The time in milliseconds.
     */
    private long logAgeMillis() {
        return time.monotonicMillis() - blackboard.position().endReadAtMillis();
    }
}
