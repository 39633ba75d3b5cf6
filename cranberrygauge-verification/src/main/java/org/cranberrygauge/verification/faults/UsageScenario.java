package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cranberrygauge.decision.usage.UsageCopies;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.decision.usage.UsageLedger;
import org.cranberrygauge.model.record.LogRecord.GatewayJoined;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.LogRecord.WindowClose;
import org.cranberrygauge.model.record.LogRecord.WindowReported;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * A gateway counts usage; two controllers close and report its windows.
 *
 * <p>The engine counts calls, the platform counts reports. Not thread-safe.
 */
final class UsageScenario implements Scenario {

    private static final long RUN_MILLIS = 80_000;

    private static final long LAST_CALL_MILLIS = 30_000;

    /** The interval between two calls. */
    private static final long CALL_MILLIS = 40;

    /** The interval between two deltas. */
    private static final long DELTA_MILLIS = 500;

    private static final long WINDOW_MILLIS = 5_000;

    private static final long REPORT_TIMEOUT_MILLIS = 1_000;

    /** The interval between two copies to the peer. */
    private static final long COPY_MILLIS = 200;

    /** The time without a copy after which the peer writes the copy it holds. */
    private static final long SILENCE_TIMEOUT_MILLIS = 2_000;

    /** The maximum number of calls that may be lost with a gateway: those between two copies, and those in flight. */
    private static final long MAXIMUM_LOST_CALLS = (COPY_MILLIS + CALL_MILLIS) / CALL_MILLIS + 1;

    /** The maximum number of keys that the peer holds. */
    private static final int MAXIMUM_HELD_KEYS = 100;

    /** The key under which calls are counted. */
    private static final UsageKey KEY = new UsageKey("customer", "class");

    /** The calls in each report that the platform received, by window. */
    private final Map<Long, List<Long>> reports = new TreeMap<>();

    private final List<UsageReportingController> controllers = new ArrayList<>();

    private final UsageCounter counter = new UsageCounter("gateway");

    private SimulationContext context;

    private SimulatedProcess gateway;

    private LogClient gatewayLog;

    /** The number of calls that the engine ran. */
    private long engineCalls;

    /** The calls covered by increments so far, if usage is not cumulative. */
    private long covered;

    @Override
    public List<Step> steps() {
        return List.of(Step.DELTA, Step.CLOSE, Step.REPORT);
    }

    @Override
    public List<Finding> run(SimulationContext runContext) {
        context = runContext;
        gateway = context.process("gateway");
        gatewayLog = new LogClient(context, gateway, applied -> {});
        gateway.every(CALL_MILLIS, this::call);
        gateway.every(DELTA_MILLIS, this::appendUsage);
        gatewayLog.append(new GatewayJoined("gateway", "host", "data-centre", "address"));
        if (context.isEnabled(Mechanism.USAGE_COPY)) {
            replicateUsage();
        }
        controllers.add(new UsageReportingController("a"));
        controllers.add(new UsageReportingController("b"));
        context.onFaults(
                () -> {},
                () -> {},
                process -> controllers.forEach(
                        controller -> controller.misdeliverNext |= controller.holder.process() == process));
        context.scheduler().runUntil(RUN_MILLIS);
        boolean figuresDiffer = reports.values().stream().anyMatch(figures -> new HashSet<>(figures).size() > 1);
        long reported =
                reports.values().stream().mapToLong(figures -> figures.get(0)).sum();
        boolean allControllersDead = controllers.stream()
                .allMatch(controller -> controller.holder.process().isDead());
        boolean lossAllowed = gateway.isDead() || allControllersDead;
        long lost = engineCalls - reported;
        boolean tooMuchLost = gateway.isDead() && !allControllersDead && lost > MAXIMUM_LOST_CALLS;
        boolean wrong = lost < 0 || lost > 0 && !lossAllowed || tooMuchLost;
        String counted = "engine " + engineCalls + " calls, reported " + reported + ", reports " + reports;
        return List.of(
                Finding.of(Invariant.ONE_REPORT, figuresDiffer, allControllersDead, counted),
                Finding.of(Invariant.EXACT_USAGE, wrong, reported < engineCalls, counted));
    }

    /** Lets a peer hold copies of usage and write those of a silent gateway. */
    private void replicateUsage() {
        SimulatedProcess peer = context.process("peer");
        LogClient peerLog = new LogClient(context, peer, applied -> {});
        UsageCopies copies = new UsageCopies(MAXIMUM_HELD_KEYS, SILENCE_TIMEOUT_MILLIS);
        gateway.every(COPY_MILLIS, () -> {
            UsageDelta copy = new UsageDelta("gateway", 0, counter.totals());
            context.call(gateway, () -> copies.hold(context.now(), copy), held -> {}, () -> {}, COPY_MILLIS);
        });
        peer.every(DELTA_MILLIS, () -> {
            Set<String> members = peerLog.state().members().contains("gateway") ? Set.of("gateway") : Set.of();
            if (peerLog.isIdle()) {
                copies.due(context.now(), peerLog.state().usage(), members).forEach(peerLog::append);
            }
        });
    }

    /** Runs a call; a partitioned gateway doesn't reach the engine either. */
    private void call() {
        if (context.now() <= LAST_CALL_MILLIS && !gateway.isPartitioned()) {
            engineCalls++;
            counter.count(KEY, new UsageFigures(1, 0, 0));
        }
    }

    /** Writes new usage to the log. */
    private void appendUsage() {
        if (!counter.isDirty()) {
            return;
        }
        UsageDelta delta = counter.next();
        if (context.isEnabled(Mechanism.CUMULATIVE_USAGE)) {
            counter.confirm(delta);
            context.step(gateway, Step.DELTA, () -> gatewayLog.append(delta));
            return;
        }
        long increment = counter.totals().get(KEY).calls() - covered;
        covered += increment;
        context.step(gateway, Step.DELTA, () -> sendIncrement(increment));
    }

    /** Writes an increment as a new entry on every try until it is acknowledged, without deduplication. */
    private void sendIncrement(long increment) {
        context.call(
                gateway,
                () -> context.log().isDown() ? null : appendIncrement(increment),
                offset -> {},
                () -> sendIncrement(increment),
                DELTA_MILLIS);
    }

    /** Appends an increment, which readers add up, and returns its offset. */
    private long appendIncrement(long increment) {
        long number = context.log().endOffset() + 1;
        Map<UsageKey, UsageFigures> figures = Map.of(KEY, new UsageFigures(increment, 0, 0));
        UsageDelta delta = new UsageDelta("increment-" + number, 1, figures);
        return context.log()
                .append(new org.cranberrygauge.model.record.LogEntry("increment-" + number, 1, List.of(delta)));
    }

    /** A simulated controller, which closes and reports usage windows while it holds the lease. */
    private final class UsageReportingController {

        private final LeaseHolder holder;

        private long closedAtMillis;

        private boolean reporting;

        /** Whether the next answer is one that belongs to another report. */
        private boolean misdeliverNext;

        private UsageReportingController(String name) {
            holder = new LeaseHolder(context, name, applied -> {}, this::tick);
        }

        /** Closes the window and reports the next one if due. */
        private void tick() {
            UsageLedger ledger = holder.log().state().usage();
            if (context.now() - closedAtMillis >= WINDOW_MILLIS) {
                closedAtMillis = context.now();
                WindowClose close = new WindowClose(
                        ledger.lastClosed() + 1,
                        holder.process().name(),
                        holder.elector().fencingNumber());
                context.step(holder.process(), Step.CLOSE, () -> holder.log().append(close));
            }
            if (!reporting) {
                ledger.nextToReport().ifPresent(this::report);
            }
        }

        private void report(UsageLedger.ClosedWindow window) {
            reporting = true;
            context.step(
                    holder.process(),
                    Step.REPORT,
                    () -> context.call(
                            holder.process(),
                            () -> onReport(window.windowId(), figures(window)),
                            this::onAcknowledgement,
                            () -> reporting = false,
                            REPORT_TIMEOUT_MILLIS));
        }

        /** Returns the calls of a window; without the prefix rule, those that this controller has read of by now. */
        private long figures(UsageLedger.ClosedWindow window) {
            long calls = window.figures().getOrDefault(KEY, UsageFigures.none()).calls();
            if (context.isEnabled(Mechanism.PREFIX_WINDOW)) {
                return calls;
            }
            return calls
                    + holder.log()
                            .state()
                            .usage()
                            .open()
                            .getOrDefault(KEY, UsageFigures.none())
                            .calls();
        }

        /** Handles a report at the platform. */
        private Long onReport(long windowId, long calls) {
            reports.computeIfAbsent(windowId, number -> new ArrayList<>()).add(calls);
            context.scheduler()
                    .trace("platform gets window " + windowId + ": " + calls + " of "
                            + holder.process().name());
            return windowId;
        }

        /** Handles the acknowledgement of a report. */
        private void onAcknowledgement(long windowId) {
            reporting = false;
            if (!misdeliverNext) {
                holder.log()
                        .append(new WindowReported(windowId, holder.elector().fencingNumber()));
            }
            misdeliverNext = false;
        }
    }
}
