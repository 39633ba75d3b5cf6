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
 * Gives copies of usage that is not in the log to a peer, and appends the copies held for peers that are gone.
 *
 * <p>Invariants: at most one append of each gateway's copy is under way. Safe for use by several threads.
 */
public final class UsageReplicator {

    /** The highest number of keys in a copy. */
    public static final int KEYS_PER_COPY = 64;

    /** The highest number of keys that are held for peers. */
    private static final int KEYS_HELD = 16_384;

    /** The time without a report after which a peer counts as silent in milliseconds. */
    private static final long SILENCE_MILLIS = 10_000;

    /** The counter of this gateway. */
    private final UsageCounter counter;

    /** Decides what is copied. */
    private final UsageReplication replication;

    /** The copies held for peers. */
    private final UsageCopies copies = new UsageCopies(KEYS_HELD, SILENCE_MILLIS);

    /** The gateways whose copy is being appended. */
    private final Set<String> underWay = ConcurrentHashMap.newKeySet();

    /** The appender. */
    private final LogAppender appender;

    /** The sources of time. */
    private final TimeSource time;

    /** The event log. */
    private final EventLog events;

    /**
     * Creates a desk.
     *
     * @param counter The counter of this gateway.
     * @param replication Decides what is copied.
     * @param appender The appender.
     * @param time The sources of time.
     * @param events The event log.
     */
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

    /**
     * Adds to a report what controllers reckon the demand from.
     *
     * @param report The report.
     * @return The same report.
     */
    public GatewayReport withSignals(GatewayReport report) {
        UsageSignals.of(counter.totals()).forEach(report::putToSignals);
        return report;
    }

    /**
     * Takes the copy that shall go to a peer and attaches it to a report.
     *
     * @param peer The name of the peer.
     * @param report The report that is about to be sent.
     * @return The copy, or nothing.
     */
    public Optional<UsageDelta> attach(String peer, GatewayReport report) {
        Optional<UsageDelta> copy = replication.next(peer);
        copy.ifPresent(delta -> report.setUsageCopy(JsonCodec.write(delta).getBytes(StandardCharsets.UTF_8)));
        return copy;
    }

    /**
     * Notes that a peer answered.
     *
     * @param peer The name of the peer.
     * @param copy The copy that was sent, or nothing.
     */
    public void answered(String peer, Optional<UsageDelta> copy) {
        replication.answered(peer, copy);
    }

    /**
     * Notes that a peer did not answer.
     *
     * @param peer The name of the peer.
     */
    public void failed(String peer) {
        replication.failed(peer);
    }

    /**
     * Takes in what a peer sent.
     *
     * @param report The report of the peer.
     * @return Whether a copy that it carried is held, or it carried none.
     */
    public boolean take(GatewayReport report) {
        long nowMillis = time.monotonicMillis();
        copies.heard(nowMillis, report.getGateway());
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

    /**
     * Appends the copies that are due; called on the context of the log follower.
     *
     * @param state The state machines.
     */
    public void appendDue(LogState state) {
        Set<String> members =
                state.members().all().stream().map(GatewayMember::gateway).collect(Collectors.toSet());
        for (UsageDelta copy : copies.due(time.monotonicMillis(), state.usage(), members)) {
            if (underWay.add(copy.gateway())) {
                events.emit(new GatewayEvents.UsageCopyAppended(
                        copy.gateway(), copy.totals().size()));
                appender.append(copy).onComplete(ended -> underWay.remove(copy.gateway()));
            }
        }
    }

    /**
     * Returns the calls in the copies held for peers.
     *
     * @return The number.
     */
    public long heldCalls() {
        return copies.calls();
    }
}
