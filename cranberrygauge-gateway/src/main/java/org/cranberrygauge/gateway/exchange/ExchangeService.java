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
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The Thrift service that a gateway offers to its peers and to operators.
 *
 * <p>Safe for use by several threads.
 */
public final class ExchangeService implements GatewayExchange.Iface {

    private final Blackboard blackboard;

    private final LogFollower follower;

    private final Supplier<GatewayReport> ownReport;

    private final UsageReplicator usageReplicator;

    private final TimeSource time;

    private final Quarantine quarantine;

    /** Called after a peer reported observations of suspects. */
    private final Runnable onSuspectsReported;

    /**
     * Creates the service that peers connect to.
     *
     * @param ownReport Builds the report of this gateway.
     * @param quarantine Receives the observations of peers.
     * @param onSuspectsReported Called after a peer reported observations of suspects.
     */
    public ExchangeService(
            Blackboard blackboard,
            LogFollower follower,
            Supplier<GatewayReport> ownReport,
            UsageReplicator usageReplicator,
            TimeSource time,
            Quarantine quarantine,
            Runnable onSuspectsReported) {
        this.blackboard = blackboard;
        this.follower = follower;
        this.ownReport = ownReport;
        this.usageReplicator = usageReplicator;
        this.time = time;
        this.quarantine = quarantine;
        this.onSuspectsReported = onSuspectsReported;
    }

    @Override
    public GatewayReport exchange(GatewayReport report) throws TException {
        receive(report);
        if (!usageReplicator.receive(report)) {
            throw new TException("the usage copy cannot be stored");
        }
        return ownReport.get();
    }

    @Override
    public GatewayReport status() {
        return usageReplicator.withSignals(ownReport.get());
    }

    @Override
    public LogSlice readLog(long afterOffset, int limit) {
        List<LogSliceEntry> entries = new ArrayList<>();
        for (StoredEntry entry : follower.retainedAfter(afterOffset, limit)) {
            entries.add(new LogSliceEntry(entry.offset(), entry.appendedAtMillis(), entry.payload()));
        }
        return new LogSlice(entries, blackboard.position().offset(), logAgeMillis());
    }

    /** Processes the report of a peer. */
    public void receive(GatewayReport report) {
        List<QuarantineObservation> observations = ObservationCodec.read(report.getQuarantined());
        quarantine.recordReport(time.monotonicMillis(), report.getGateway(), observations);
        if (!observations.isEmpty()) {
            onSuspectsReported.run();
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

    /** Returns this gateway's observations of suspects as the texts of a report. */
    public List<String> suspectObservations() {
        return ObservationCodec.write(quarantine.observations(time.monotonicMillis()));
    }

    private long logAgeMillis() {
        return time.monotonicMillis() - blackboard.position().endReadAtMillis();
    }
}
