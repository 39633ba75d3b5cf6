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
 * A gateway counts usage, two controllers close and report its windows.
 *
 * <p>Calls are counted by the engine, reports by the platform. Used by one thread.
 */
final class UsageScenario implements Scenario {

    /** The length of a run in milliseconds. */
    private static final long RUN_MILLIS = 80_000;

    /** The time of the last call in milliseconds. */
    private static final long LAST_CALL_MILLIS = 30_000;

    /** The time between two calls in milliseconds. */
    private static final long CALL_MILLIS = 40;

    /** The time between two deltas in milliseconds. */
    private static final long DELTA_MILLIS = 500;

    /** The length of a window in milliseconds. */
    private static final long WINDOW_MILLIS = 5_000;

    /** The time after which a report is given up in milliseconds. */
    private static final long REPORT_MILLIS = 1_000;

    /** The time between two copies to the peer in milliseconds. */
    private static final long COPY_MILLIS = 200;

    /** The time without a copy after which the peer writes what it holds in milliseconds. */
    private static final long SILENT_MILLIS = 2_000;

    /** The highest number of calls that may be lost with a gateway: those of one copy's interval and its travel. */
    private static final long LOST_CALLS = (COPY_MILLIS + CALL_MILLIS) / CALL_MILLIS + 1;

    /** The highest number of keys that the peer holds. */
    private static final int HELD_KEYS = 100;

    /** What the calls are counted by. */
    private static final UsageKey KEY = new UsageKey("customer", "class");

    /** The figures of each report by window, as the platform got them. */
    private final Map<Long, List<Long>> reports = new TreeMap<>();

    /** The controllers. */
    private final List<UsageReportingController> reporters = new ArrayList<>();

    /** The counter of the gateway. */
    private final UsageCounter counter = new UsageCounter("gateway");

    /** The world. */
    private SimulationContext world;

    /** The gateway. */
    private SimulatedProcess gateway;

    /** The gateway's view of the log. */
    private LogClient gatewayLog;

    /** The number of calls that the engine ran. */
    private long engineCalls;

    /** The calls that the last increment covered, if usage is written as increments. */
    private long covered;

    @Override
    public List<Step> steps() {
        return List.of(Step.DELTA, Step.CLOSE, Step.REPORT);
    }

    @Override
    public List<Finding> run(SimulationContext present) {
        world = present;
        gateway = world.process("gateway");
        gatewayLog = new LogClient(world, gateway, effect -> {});
        gateway.every(CALL_MILLIS, this::call);
        gateway.every(DELTA_MILLIS, this::ship);
        gatewayLog.append(new GatewayJoined("gateway", "host", "data-centre", "address"));
        if (world.on(Mechanism.USAGE_COPY)) {
            holdCopies();
        }
        reporters.add(new UsageReportingController("a"));
        reporters.add(new UsageReportingController("b"));
        world.onFaults(
                () -> {},
                () -> {},
                process -> reporters.forEach(reporter -> reporter.crossed |= reporter.holder.process() == process));
        world.timeline().runUntil(RUN_MILLIS);
        boolean differ = reports.values().stream().anyMatch(figures -> new HashSet<>(figures).size() > 1);
        long reported =
                reports.values().stream().mapToLong(figures -> figures.get(0)).sum();
        boolean nobody = reporters.stream()
                .allMatch(reporter -> reporter.holder.process().isDead());
        boolean lossAllowed = gateway.isDead() || nobody;
        long lost = engineCalls - reported;
        boolean tooMuchLost = gateway.isDead() && !nobody && lost > LOST_CALLS;
        boolean wrong = lost < 0 || lost > 0 && !lossAllowed || tooMuchLost;
        String counted = "engine " + engineCalls + " calls, reported " + reported + ", reports " + reports;
        return List.of(
                Finding.of(Invariant.ONE_REPORT, differ, nobody, counted),
                Finding.of(Invariant.EXACT_USAGE, wrong, reported < engineCalls, counted));
    }

    /** Lets a peer hold copies and write those of a gateway that is silent. */
    private void holdCopies() {
        SimulatedProcess peer = world.process("peer");
        LogClient peerLog = new LogClient(world, peer, effect -> {});
        UsageCopies copies = new UsageCopies(HELD_KEYS, SILENT_MILLIS);
        gateway.every(COPY_MILLIS, () -> {
            UsageDelta copy = new UsageDelta("gateway", 0, counter.totals());
            world.call(gateway, () -> copies.hold(world.now(), copy), held -> {}, () -> {}, COPY_MILLIS);
        });
        peer.every(DELTA_MILLIS, () -> {
            Set<String> members = peerLog.state().members().contains("gateway") ? Set.of("gateway") : Set.of();
            if (peerLog.isIdle()) {
                copies.due(world.now(), peerLog.state().usage(), members).forEach(peerLog::append);
            }
        });
    }

    /** Runs a call; a gateway that is cut off reaches no engine either. */
    private void call() {
        if (world.now() <= LAST_CALL_MILLIS && !gateway.isCut()) {
            engineCalls++;
            counter.count(KEY, new UsageFigures(1, 0, 0));
        }
    }

    /** Writes usage to the log. */
    private void ship() {
        if (!counter.isDirty()) {
            return;
        }
        UsageDelta delta = counter.next();
        if (world.on(Mechanism.CUMULATIVE_USAGE)) {
            counter.confirm(delta);
            world.step(gateway, Step.DELTA, () -> gatewayLog.append(delta));
            return;
        }
        long increment = counter.totals().get(KEY).calls() - covered;
        covered += increment;
        world.step(gateway, Step.DELTA, () -> sendIncrement(increment));
    }

    /**
     * Writes an increment as a fresh entry each time, until it is answered.
     *
     * @param increment The number of calls.
     */
    private void sendIncrement(long increment) {
        world.call(
                gateway,
                () -> world.log().isDown() ? null : appendIncrement(increment),
                offset -> {},
                () -> sendIncrement(increment),
                DELTA_MILLIS);
    }

    /**
     * Appends an increment, which readers add up.
     *
     * @param increment The number of calls.
     * @return The offset.
     */
    private long appendIncrement(long increment) {
        long number = world.log().endOffset() + 1;
        Map<UsageKey, UsageFigures> figures = Map.of(KEY, new UsageFigures(increment, 0, 0));
        UsageDelta delta = new UsageDelta("increment-" + number, 1, figures);
        return world.log()
                .append(new org.cranberrygauge.model.record.LogEntry("increment-" + number, 1, List.of(delta)));
    }

    /** One controller. */
    private final class UsageReportingController {

        /** The lease. */
        private final LeaseHolder holder;

        /** The time of the last close in milliseconds. */
        private long closedAtMillis;

        /** Whether a report is under way. */
        private boolean reporting;

        /** Whether the next answer belongs to another report. */
        private boolean crossed;

        /**
         * Creates a controller.
         *
         * @param name The name.
         */
        private UsageReportingController(String name) {
            holder = new LeaseHolder(world, name, effect -> {}, this::tick);
        }

        /** Closes and reports what is due. */
        private void tick() {
            UsageLedger ledger = holder.log().state().usage();
            if (world.now() - closedAtMillis >= WINDOW_MILLIS) {
                closedAtMillis = world.now();
                WindowClose close = new WindowClose(
                        ledger.lastClosed() + 1,
                        holder.process().name(),
                        holder.keeper().fencingNumber());
                world.step(holder.process(), Step.CLOSE, () -> holder.log().append(close));
            }
            if (!reporting) {
                ledger.nextToReport().ifPresent(this::report);
            }
        }

        /**
         * Reports a window.
         *
         * @param window The window.
         */
        private void report(UsageLedger.ClosedWindow window) {
            reporting = true;
            world.step(
                    holder.process(),
                    Step.REPORT,
                    () -> world.call(
                            holder.process(),
                            () -> take(window.windowId(), figures(window)),
                            this::acknowledged,
                            () -> reporting = false,
                            REPORT_MILLIS));
        }

        /**
         * Returns the calls of a window; without the prefix rule, those that this controller has read of by now.
         *
         * @param window The window.
         * @return The number of calls.
         */
        private long figures(UsageLedger.ClosedWindow window) {
            long calls = window.figures().getOrDefault(KEY, UsageFigures.none()).calls();
            if (world.on(Mechanism.PREFIX_WINDOW)) {
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

        /**
         * Takes a report at the platform.
         *
         * @param windowId The number of the window.
         * @param calls The number of calls.
         * @return The number of the window.
         */
        private Long take(long windowId, long calls) {
            reports.computeIfAbsent(windowId, number -> new ArrayList<>()).add(calls);
            world.timeline()
                    .note("platform gets window " + windowId + ": " + calls + " of "
                            + holder.process().name());
            return windowId;
        }

        /**
         * Takes the answer to a report.
         *
         * @param windowId The number of the window that the answer names.
         */
        private void acknowledged(long windowId) {
            reporting = false;
            if (!crossed) {
                holder.log().append(new WindowReported(windowId, holder.keeper().fencingNumber()));
            }
            crossed = false;
        }
    }
}
