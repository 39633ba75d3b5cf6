package org.cranberrygauge.gateway.usage;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.cranberrygauge.decision.membership.GatewayMember;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.decision.usage.UsageCopies;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.decision.usage.UsageReplication;
import org.cranberrygauge.decision.usage.UsageSignals;
import org.cranberrygauge.gateway.GatewayEvents;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.log.LogAppender;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Replicates usage that is not in the log yet to a peer, and appends the copies held for peers that are gone.
 *
 * <p>Invariants: at most one append of each gateway's copy is in flight. Safe for use by several threads.
 */
public final class UsageReplicator {

    /** The largest number of usage keys in one copy. */
    public static final int KEYS_PER_COPY = 64;

    /** The largest number of usage keys held for all peers together. */
    private static final int MAX_HELD_KEYS = 16_384;

    /** The time without a report after which a peer is considered silent in milliseconds. */
    private static final long PEER_SILENCE_MILLIS = 10_000;

    private final UsageCounter counter;

    /** Decides what is copied to which peer. */
    private final UsageReplication replication;

    private final UsageCopies copies = new UsageCopies(MAX_HELD_KEYS, PEER_SILENCE_MILLIS);

    /** The gateways whose copy is being appended. */
    private final Set<String> appending = ConcurrentHashMap.newKeySet();

    private final LogAppender appender;

    private final TimeSource time;

    private final EventLog events;

    public UsageReplicator(
            UsageCounter counter,
            UsageReplication replication,
            LogAppender appender,
            TimeSource time,
            EventLog events) {
        this.counter = counter;
        this.replication = replication;
        this.appender = appender;
        this.time = time;
        this.events = events;
    }

    /** Adds the usage signals from which the controller derives demand to a report, and returns the report. */
    public GatewayReport withSignals(GatewayReport report) {
        UsageSignals.of(counter.totals()).forEach(report::putToSignals);
        return report;
    }

    /**
     * Attaches the copy that is due for a peer to a report that is about to be sent to it.
     *
     * @return The copy, or nothing if none is due.
     */
    public Optional<UsageDelta> attach(String peer, GatewayReport report) {
        Optional<UsageDelta> copy = replication.next(peer);
        copy.ifPresent(delta -> report.setUsageCopy(JsonCodec.write(delta).getBytes(StandardCharsets.UTF_8)));
        return copy;
    }

    /**
     * Records that a peer acknowledged a report.
     *
     * @param copy The copy that was attached, or nothing.
     */
    public void acknowledged(String peer, Optional<UsageDelta> copy) {
        replication.answered(peer, copy);
    }

    /** Records that a peer did not answer. */
    public void failed(String peer) {
        replication.failed(peer);
    }

    /**
     * Stores the copy attached to a peer's report.
     *
     * @return False if the attached copy could not be stored; true if it was, or if there was none.
     */
    public boolean receive(GatewayReport report) {
        long nowMillis = time.monotonicMillis();
        copies.recordReport(nowMillis, report.getGateway());
        if (!report.isSetUsageCopy()) {
            return true;
        }
        try {
            String text = new String(report.getUsageCopy(), StandardCharsets.UTF_8);
            return copies.hold(nowMillis, JsonCodec.read(text, UsageDelta.class));
        } catch (CranberrygaugeException exception) {
            events.emit(new GatewayEvents.UsageCopyRefused(report.getGateway(), exception.getMessage()));
            return false;
        }
    }

    /** Appends the copies that are due. Must be called on the context of the log follower. */
    public void appendDue(LogState state) {
        Set<String> members =
                state.members().all().stream().map(GatewayMember::gateway).collect(Collectors.toSet());
        for (UsageDelta copy : copies.due(time.monotonicMillis(), state.usage(), members)) {
            if (appending.add(copy.gateway())) {
                events.emit(new GatewayEvents.UsageCopyAppended(
                        copy.gateway(), copy.totals().size()));
                appender.append(copy).onComplete(ended -> appending.remove(copy.gateway()));
            }
        }
    }

    /** Returns the number of calls in the copies held for peers. */
    public long heldCalls() {
        return copies.calls();
    }
}
