package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.thrift.TException;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.backend.BackendStatements.Shared;
import org.cranberrygauge.decision.fairness.CustomerUse;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.BackendWork;
import org.cranberrygauge.protocol.generated.HostAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.protocol.generated.PartPlaced;
import org.cranberrygauge.protocol.generated.PrefillWork;
import org.cranberrygauge.proxy.ProxySettings;
import org.cranberrygauge.proxy.backend.BackendEvents;
import org.cranberrygauge.proxy.backend.BackendReachability;
import org.cranberrygauge.proxy.retry.BudgetShare;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.cranberrygauge.proxy.routing.PlacedPart;
import org.cranberrygauge.proxy.routing.PlacementExchange;
import org.cranberrygauge.proxy.routing.PromptPart;
import org.cranberrygauge.proxy.store.AddressValidation;
import org.cranberrygauge.proxy.store.SharedLog.KeyedValues;
import org.cranberrygauge.proxy.store.StoreEra;
import org.cranberrygauge.proxy.store.UnreadableRecordException;

/**
 * Sends periodic reports of this host's load to all other hosts, and receives theirs.
 *
 * <p>Hosts discover each other through the shared log: each writes its address once and then reads those of the others.
 * Every report contains the complete state, so that a lost one does no harm. Not thread-safe, except that the request
 * path publishes this host's load concurrently.
 */
public final class PeerReportExchange {

    /** The interval between reports. */
    private static final long REPORT_INTERVAL_MILLIS = 200;

    /** One in this many reports holds the speed of servers, which changes slowly and takes many bytes. */
    private static final int REPORTS_PER_SPEED_REPORT = 5;

    /** The delay before a failed discovery is retried. */
    private static final long RETRY_DELAY_MILLIS = 700;

    /** The age up to which an address is written again after the log has come back from a copy some seconds old. */
    private static final long REWRITTEN_MILLIS = 120_000;

    /** The maximum random delay of that, so that hosts don't write all at once. */
    private static final long REWRITE_JITTER_MILLIS = 1_000;

    private final ControllerContext context;

    private final ProxySettings settings;

    /** The time of the process start in milliseconds since the epoch. */
    private final long startedAtMillis;

    private final PlacementExchange placements;

    private final BackendStatements statements;

    private final PermitExchange permits;

    private final BackendReachability reachability;

    /** The recent usage of customers in the fleet. */
    private final CustomerUse customerUse;

    /** The load caused by this host, as the request path last published it. */
    private final AtomicReference<Map<String, Work>> ownWork;

    private final HostNetwork network;

    private final DependencyMonitor monitor;

    /** Whether no process ran on this host before; empty until the addresses have been read. */
    private Optional<Boolean> firstProcess = Optional.empty();

    /** The sequence number of the last report. */
    private long sequence;

    /**
     * @param startedAtMillis The time of the process start in milliseconds since the epoch.
     * @param ownWork The load caused by this host, as the request path publishes it.
     */
    public PeerReportExchange(
            ControllerContext context,
            ProxySettings settings,
            HostNetwork network,
            long startedAtMillis,
            PlacementExchange placements,
            BackendStatements statements,
            PermitExchange permits,
            BackendReachability reachability,
            CustomerUse customerUse,
            AtomicReference<Map<String, Work>> ownWork) {
        this.context = context;
        this.settings = settings;
        this.network = network;
        this.startedAtMillis = startedAtMillis;
        this.placements = placements;
        this.statements = statements;
        this.permits = permits;
        this.reachability = reachability;
        this.customerUse = customerUse;
        this.ownWork = ownWork;
        this.monitor = new DependencyMonitor("host addresses", context.events());
    }

    /** Opens the channel, then starts discovery and the periodic reports. */
    public Future<Void> start() {
        network.channel()
                .onMessage(HostMessage._Fields.REPORT, (message, sender) -> receive(message.getReport(), sender));
        return network.channel().start().onSuccess(bound -> {
            publishAddress();
            context.log().era().onChange((previous, current) -> publishAddressAgain());
            context.vertx().setPeriodic(REPORT_INTERVAL_MILLIS, fired -> report());
        });
    }

    /** Writes this host's address and reads those of the others, at first also the one that it replaces. */
    private void publishAddress() {
        Future<KeyedValues> before = firstProcess.isPresent()
                ? Future.succeededFuture()
                : context.log().newest(network.topic()).onSuccess(this::readOwnAddress);
        byte[] value = MessageCodec.write(
                new HostAddress(settings.peers().host(), settings.peers().port(), startedAtMillis));
        before.compose(read -> context.log().put(network.topic(), settings.host(), value))
                .compose(offset -> context.log().newest(network.topic()))
                .onSuccess(newest -> {
                    monitor.recordSuccess(context.time().monotonicMillis());
                    newest.values().forEach(this::addHost);
                    network.peers().recordListRead();
                    publishBudgetShare(context.time().monotonicMillis());
                })
                .onFailure(failure -> {
                    monitor.recordFailure(context.time().monotonicMillis(), String.valueOf(failure.getMessage()));
                    context.vertx().setTimer(RETRY_DELAY_MILLIS, fired -> publishAddress());
                });
    }

    /** Finds out whether a process ran on this host before, which has written its address. */
    private void readOwnAddress(KeyedValues addresses) {
        firstProcess = Optional.of(!addresses.values().containsKey(settings.host()));
    }

    private void publishBudgetShare(long now) {
        context.blackboard().publish(new BudgetShare(network.peers().sharingHosts(now), firstProcess.orElse(false)));
    }

    /** Writes the address again after the log has come back from an older copy, unless any copy must hold it. */
    private void publishAddressAgain() {
        if (context.time().wallMillis() - startedAtMillis < REWRITTEN_MILLIS) {
            context.vertx().setTimer(1 + context.random().nextLong(REWRITE_JITTER_MILLIS), fired -> publishAddress());
        }
    }

    private void addHost(String name, byte[] value) {
        if (name.equals(settings.host())) {
            return;
        }
        try {
            HostAddress read = MessageCodec.read(value, new HostAddress());
            NetworkAddress address = AddressValidation.require(new NetworkAddress(read.getAddress(), read.getPort()));
            network.peers().addHost(context.time().monotonicMillis(), name, address);
        } catch (TException | UnreadableRecordException exception) {
            context.events().emit(new ControlEvents.RecordUnreadable(network.topic(), name, exception.getMessage()));
        }
    }

    /** Sends a report to all other hosts and publishes the sum of theirs. */
    private void report() {
        long now = context.time().monotonicMillis();
        network.channel()
                .send(HostMessage.report(buildReport(now)), network.peers().addresses(now));
        context.blackboard().publish(network.peers().loads(now));
        publishBudgetShare(now);
        context.blackboard().publish(network.peers().otherHosts(now));
        context.blackboard().publishForwardingTargets(network.peers().forwardingTargets(now));
    }

    private HostReport buildReport(long now) {
        Set<String> present = context.blackboard().backends().incarnations();
        permits.retain(now, present);
        Map<String, BackendWork> work = new HashMap<>();
        ownWork.get()
                .forEach((incarnation, own) -> work.put(
                        incarnation,
                        new BackendWork(own.running(), own.unreadTokens(), own.heldTokens(), own.shortRunning())));
        List<PartPlaced> parts = new ArrayList<>();
        placements
                .recent(now)
                .forEach(placed -> parts.add(new PartPlaced(
                        placed.incarnation(), placed.part().id(), placed.part().tokens())));
        sequence++;
        HostReport report = new HostReport(
                settings.host(),
                startedAtMillis,
                sequence,
                work,
                List.of(),
                parts,
                settings.dataCentre(),
                network.relay().readsLog());
        if (context.log().era().newest() != StoreEra.UNKNOWN) {
            report.setEra(context.log().era().newest());
        }
        context.blackboard()
                .configuration()
                .configuration()
                .ifPresent(inForce -> report.setConfigurationVersion(inForce.version()));
        context.blackboard().loopDelay().ifPresent(report::setLoopDelayMillis);
        network.relay().logAvailableMillis(now).ifPresent(report::setLogAvailableMillis);
        boolean draining = context.blackboard().draining();
        if (sequence % REPORTS_PER_SPEED_REPORT == 0) {
            report.setServerSpeedPercent(context.blackboard().serverSpeedPercent());
        }
        report.setReachesBackends(reachability.reaches(now) && !draining);
        report.setPrefill(prefillWork());
        Map<String, Long> use = customerUse.report(now, CustomerUse.MAXIMUM_REPORTED);
        if (!use.isEmpty()) {
            report.setCustomerUse(use);
        }
        Map<String, Shared> shared = statements.shared(now, present);
        return shared.isEmpty() ? report : report.setStated(StatementReports.write(now, shared));
    }

    private Map<String, PrefillWork> prefillWork() {
        Map<String, PrefillWork> work = new HashMap<>();
        context.blackboard()
                .prefill()
                .forEach((pool, tokens) ->
                        work.put(pool, new PrefillWork((long) tokens.shortTokens(), (long) tokens.longTokens())));
        return work;
    }

    /** Applies what another host knows of backend servers. */
    private void mergeStatements(HostReport report) {
        if (!report.isSetStated()) {
            return;
        }
        long now = context.time().monotonicMillis();
        StatementReports.read(now, report.getStated())
                .forEach((incarnation, shared) -> statements
                        .merge(now, incarnation, shared)
                        .forEach(notice ->
                                context.events().emit(BackendEvents.of(now, incarnation, notice, report.getHost()))));
    }

    /** Applies the report of another host. */
    private void receive(HostReport report, NetworkAddress sender) {
        long now = context.time().monotonicMillis();
        if (!network.peers().update(now, report, sender)) {
            return;
        }
        if (report.isSetCustomerUse()) {
            customerUse.merge(now, report.getHost(), report.getCustomerUse());
        }
        if (report.isSetEra()) {
            context.log().era().observe(report.getEra());
        }
        mergeStatements(report);
        report.getPlaced()
                .forEach(placed -> placements.receive(
                        new PlacedPart(placed.getIncarnation(), new PromptPart(placed.getPart(), placed.getTokens()))));
    }
}
