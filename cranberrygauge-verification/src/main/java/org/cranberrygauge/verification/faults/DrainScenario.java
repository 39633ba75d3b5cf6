package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.decision.membership.AdmissionFreshness;
import org.cranberrygauge.model.record.LogRecord;

/**
 * A backend server is drained and released while three gateways send it requests.
 *
 * <p>The backend server counts requests. Not thread-safe.
 */
final class DrainScenario implements Scenario {

    private static final long RUN_MILLIS = 40_000;

    private static final long DRAIN_AT_MILLIS = 5_000;

    /** The time after the append of the drain from which no new request may begin. */
    private static final long NEW_REQUEST_LIMIT_MILLIS = 5_000;

    /** The interval between two requests of a gateway. */
    private static final long REQUEST_MILLIS = 150;

    private static final long REQUEST_DURATION_MILLIS = 2_000;

    /** The interval between two checks whether the backend server is drained. */
    private static final long CHECK_MILLIS = 200;

    private static final long FRESHNESS_MILLIS = 3_000;

    private static final String SERVER = "server-0";

    private final List<Gateway> gateways = new ArrayList<>();

    private SimulationContext context;

    /** The process that drains the backend server. */
    private SimulatedProcess controller;

    private LogClient log;

    /** The number of requests that run on the backend server. */
    private int running;

    private boolean released;

    private boolean evicted;

    /** The number of requests that the hand-back interrupted. */
    private int interrupted;

    /** The number of requests that began too late after the drain. */
    private int late;

    /** The number of late requests that were already in flight, paused or delayed between choice and arrival. */
    private int lateInFlight;

    @Override
    public List<Step> steps() {
        return List.of(Step.DRAIN_START, Step.DRAIN_APPLY, Step.DRAIN_WAIT, Step.HAND_BACK);
    }

    @Override
    public List<Finding> run(SimulationContext runContext) {
        context = runContext;
        controller = context.process("controller");
        log = new LogClient(context, controller, applied -> {});
        for (int number = 0; number < 3; number++) {
            gateways.add(new Gateway("gateway-" + number));
        }
        SimulatedProcess operator = context.process("operator");
        LogClient operatorLog = new LogClient(context, operator, applied -> {});
        context.onFaults(
                () -> {
                    evicted = true;
                    running = 0;
                },
                () -> operatorLog.append(new LogRecord.DrainEnded("drain", DrainState.OPERATOR)),
                process -> {});
        controller.run(DRAIN_AT_MILLIS - context.now(), () -> context.step(controller, Step.DRAIN_START, this::start));
        context.scheduler().runUntil(RUN_MILLIS);
        String counted = "cut " + interrupted + ", late " + late + ", of them in flight " + lateInFlight + ", released "
                + released;
        boolean notReleased = !released && !evicted;
        return List.of(
                Finding.of(Invariant.NO_NEW_WORK, late > lateInFlight, late > 0 || notReleased, counted),
                Finding.of(Invariant.NO_CUT, interrupted > 0, notReleased, counted));
    }

    /** Appends the drain to the log. */
    private void start() {
        log.append(new LogRecord.DrainStarted("drain", DrainState.OPERATOR, Set.of(SERVER), "cleaning"));
        controller.run(CHECK_MILLIS, () -> context.step(controller, Step.DRAIN_WAIT, this::awaitDrained));
    }

    /** Waits until all gateways apply the drain and no request runs, then hands the backend server back. */
    private void awaitDrained() {
        boolean drained = log.state().drains().isDrained(SERVER);
        boolean idle = running == 0 && gateways.stream().allMatch(Gateway::isDrainedOrDead);
        boolean ready = drained && !controller.isPartitioned() && idle;
        if (ready || !context.isEnabled(Mechanism.DRAIN)) {
            context.step(controller, Step.HAND_BACK, this::handBack);
            return;
        }
        controller.run(CHECK_MILLIS, this::awaitDrained);
    }

    private void handBack() {
        if (!evicted) {
            interrupted += running;
            released = true;
            context.scheduler().trace("released with " + running + " running");
        }
    }

    /** Handles a request at the backend server and tells whether it was accepted. */
    private boolean accept(long chosenAtMillis) {
        if (released || evicted) {
            return false;
        }
        boolean ended = context.log().timeOf(LogRecord.DrainEnded.class) < context.now();
        long fromMillis = context.log().timeOf(LogRecord.DrainStarted.class);
        if (!ended && context.now() - NEW_REQUEST_LIMIT_MILLIS > fromMillis) {
            late++;
            lateInFlight += chosenAtMillis - NEW_REQUEST_LIMIT_MILLIS <= fromMillis ? 1 : 0;
            context.scheduler().trace("late request, chosen at " + chosenAtMillis);
        }
        running++;
        context.scheduler().after(REQUEST_DURATION_MILLIS, () -> running = Math.max(0, running - 1));
        return true;
    }

    /** A simulated gateway, which sends requests to the backend server until it applies the drain. */
    private final class Gateway {

        private final SimulatedProcess process;

        private final LogClient log;

        /** The requests in flight to the backend server. */
        private int inFlight;

        private Gateway(String name) {
            process = context.process(name);
            log = new LogClient(context, process, applied -> {});
            log.append(new LogRecord.GatewayJoined(name, "host-" + name, "data-centre", "address"));
            process.every(REQUEST_MILLIS, this::request);
        }

        /**
         * Tells whether this gateway is dead, or applied the drain and has nothing in flight to the backend server.
         */
        private boolean isDrainedOrDead() {
            if (process.isDead()) {
                return true;
            }
            return process.answers() && inFlight == 0 && log.state().drains().isDrained(SERVER);
        }

        /** Sends a request unless the backend server is drained or this gateway may not admit. */
        private void request() {
            boolean admits = AdmissionFreshness.Default.INSTANCE.mayAdmit(
                    context.now(),
                    new AdmissionFreshness.View(
                            log.endReadAtMillis(),
                            FRESHNESS_MILLIS,
                            0,
                            log.state().offset(),
                            log.state().members().contains(process.name()),
                            2,
                            List.of()));
            if (!admits || log.state().drains().isDrained(SERVER)) {
                return;
            }
            long chosenAtMillis = context.now();
            inFlight++;
            if (context.now() > DRAIN_AT_MILLIS - REQUEST_MILLIS) {
                context.step(process, Step.DRAIN_APPLY, () -> send(chosenAtMillis));
            } else {
                send(chosenAtMillis);
            }
        }

        private void send(long chosenAtMillis) {
            context.call(
                    process,
                    () -> accept(chosenAtMillis),
                    accepted -> ended(accepted),
                    () -> inFlight--,
                    REQUEST_DURATION_MILLIS);
        }

        /** Waits for the end of a request. */
        private void ended(boolean accepted) {
            process.run(accepted ? REQUEST_DURATION_MILLIS : 0, () -> inFlight--);
        }
    }
}
