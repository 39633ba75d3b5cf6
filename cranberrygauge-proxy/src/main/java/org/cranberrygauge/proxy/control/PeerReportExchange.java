package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.thrift.TException;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.BackendWork;
import org.cranberrygauge.protocol.generated.CrashCount;
import org.cranberrygauge.protocol.generated.HostAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.protocol.generated.PartPlaced;
import org.cranberrygauge.proxy.ProxySettings;
import org.cranberrygauge.proxy.retry.CrashTracker;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.cranberrygauge.proxy.routing.PlacedPart;
import org.cranberrygauge.proxy.routing.PlacementExchange;
import org.cranberrygauge.proxy.routing.PromptPart;

/**
 * Tells the other hosts several times a second what this host has in flight, and takes what they say.
 *
 * <p>Hosts find each other through the shared log: each writes its address once and then reads those of the others. Every
 * report tells all there is, so that a lost one does no harm. Used by one thread, but for the work of this host, which the
 * request path publishes.
 */
public final class PeerReportExchange {

    /** The pause between reports in milliseconds. */
    private static final long PAUSE_MILLIS = 200;

    /** The pause before a failed announcement is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 700;

    /** The tools. */
    private final ControllerContext tools;

    /** The settings of this host. */
    private final ProxySettings settings;

    /** The time of the start of this process in milliseconds of the epoch. */
    private final long startedAtMillis;

    /** The requests that crash backend servers. */
    private final CrashTracker crashes;

    /** Tells other hosts which engine reads which prompt part. */
    private final PlacementExchange placements;

    /** The work of this host, as the request path last published it. */
    private final AtomicReference<Map<String, Work>> ownWork;

    /** What connects this host with the others. */
    private final HostNetwork network;

    /** Notes when hosts can't be found. */
    private final DependencyMonitor watch;

    /** The number of the last report. */
    private long sequence;

    /**
     * Creates a link.
     *
     * @param tools The tools.
     * @param settings The settings of this host.
     * @param network What connects this host with the others.
     * @param startedAtMillis The time of the start of this process in milliseconds of the epoch.
     * @param crashes The requests that crash backend servers.
     * @param placements Tells other hosts which engine reads which prompt part.
     * @param ownWork The work of this host, as the request path publishes it.
     */
    public PeerReportExchange(
            ControllerContext tools,
            ProxySettings settings,
            HostNetwork network,
            long startedAtMillis,
            CrashTracker crashes,
            PlacementExchange placements,
            AtomicReference<Map<String, Work>> ownWork) {
        this.tools = tools;
        this.settings = settings;
        this.network = network;
        this.startedAtMillis = startedAtMillis;
        this.crashes = crashes;
        this.placements = placements;
        this.ownWork = ownWork;
        this.watch = new DependencyMonitor("host addresses", tools.events());
    }

    /**
     * Starts to exchange reports.
     *
     * @return The end of the start.
     */
    public Future<Void> start() {
        network.channel().onMessage(HostMessage._Fields.REPORT, (message, sender) -> take(message.getReport(), sender));
        return network.channel().start().onSuccess(bound -> {
            announce();
            tools.vertx().setPeriodic(PAUSE_MILLIS, fired -> report());
        });
    }

    /** Writes this host's address and reads those of the others. */
    private void announce() {
        byte[] value = MessageCodec.write(
                new HostAddress(settings.peers().host(), settings.peers().port(), startedAtMillis));
        tools.log()
                .put(network.topic(), settings.host(), value)
                .compose(offset -> tools.log().newest(network.topic()))
                .onSuccess(newest -> {
                    watch.reached(tools.time().monotonicMillis());
                    newest.values().forEach(this::takeAddress);
                })
                .onFailure(failure -> {
                    watch.failed(tools.time().monotonicMillis(), String.valueOf(failure.getMessage()));
                    tools.vertx().setTimer(RETRY_MILLIS, fired -> announce());
                });
    }

    /**
     * Takes the address of a host.
     *
     * @param name The name of the host.
     * @param value The bytes.
     */
    private void takeAddress(String name, byte[] value) {
        if (name.equals(settings.host())) {
            return;
        }
        try {
            HostAddress read = MessageCodec.read(value, new HostAddress());
            network.peers()
                    .announce(
                            tools.time().monotonicMillis(),
                            name,
                            new NetworkAddress(read.getAddress(), read.getPort()));
        } catch (TException exception) {
            tools.events().emit(new ControlEvents.RecordUnreadable(network.topic(), name, exception.getMessage()));
        }
    }

    /** Sends a report to each other host and publishes what they said. */
    private void report() {
        long now = tools.time().monotonicMillis();
        network.channel().send(HostMessage.report(message(now)), network.peers().addresses(now));
        tools.board().publish(network.peers().loads(now));
    }

    /**
     * Writes down what this host has to say.
     *
     * @param now The present monotonic time in milliseconds.
     * @return The report.
     */
    private HostReport message(long now) {
        Map<String, BackendWork> work = new HashMap<>();
        ownWork.get()
                .forEach((incarnation, own) -> work.put(
                        incarnation,
                        new BackendWork(own.running(), own.unreadTokens(), own.heldTokens(), own.shortRunning())));
        List<CrashCount> counts = new ArrayList<>();
        crashes.local(now).forEach((fingerprint, count) -> counts.add(new CrashCount(fingerprint, count)));
        List<PartPlaced> parts = new ArrayList<>();
        placements
                .recent(now)
                .forEach(placed -> parts.add(new PartPlaced(
                        placed.incarnation(), placed.part().id(), placed.part().tokens())));
        sequence++;
        return new HostReport(
                settings.host(),
                startedAtMillis,
                sequence,
                work,
                counts,
                parts,
                settings.dataCentre(),
                network.relay().readsLog());
    }

    /**
     * Takes a report.
     *
     * @param report The report.
     * @param sender The address it came from.
     */
    private void take(HostReport report, NetworkAddress sender) {
        if (!network.peers().take(tools.time().monotonicMillis(), report, sender)) {
            return;
        }
        Map<Long, Integer> counts = new HashMap<>();
        report.getCrashes().forEach(count -> counts.put(count.getFingerprint(), count.getCrashes()));
        crashes.replaceRemote(report.getHost(), counts);
        report.getPlaced()
                .forEach(placed -> placements.receive(
                        new PlacedPart(placed.getIncarnation(), new PromptPart(placed.getPart(), placed.getTokens()))));
    }
}
