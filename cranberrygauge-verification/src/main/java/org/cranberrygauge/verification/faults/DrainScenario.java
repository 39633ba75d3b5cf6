package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.decision.membership.AdmissionFreshness;
import org.cranberrygauge.model.record.LogRecord;

/**
 * A backend server is emptied and handed back while three gateways send requests.
 *
 * <p>Requests are counted by the backend server. Used by one thread.
 */
final class DrainScenario implements Scenario {

    /** The length of a run in milliseconds. */
    private static final long RUN_MILLIS = 40_000;

    /** The time of the drain in milliseconds. */
    private static final long DRAIN_AT_MILLIS = 5_000;

    /** The time after the log took the drain by which new work ends in milliseconds. */
    private static final long FEW_SECONDS_MILLIS = 5_000;

    /** The time between two requests of a gateway in milliseconds. */
    private static final long REQUEST_MILLIS = 150;

    /** The time that a request runs in milliseconds. */
    private static final long RUN_TIME_MILLIS = 2_000;

    /** The time between two looks in milliseconds. */
    private static final long ROUND_MILLIS = 200;

    /** The freshness bound in milliseconds. */
    private static final long FRESHNESS_MILLIS = 3_000;

    /** The backend server that is emptied. */
    private static final String SERVER = "server-0";

    /** The gateways. */
    private final List<Gateway> gateways = new ArrayList<>();

    /** The world. */
    private SimulationContext world;

    /** The process that empties the backend server. */
    private SimulatedProcess controller;

    /** Its view of the log. */
    private LogClient log;

    /** The number of requests that run on the backend server. */
    private int running;

    /** Whether the backend server was handed back. */
    private boolean handedBack;

    /** Whether the backend server was evicted. */
    private boolean evicted;

    /** The number of requests that were cut by the hand-back. */
    private int cut;

    /** The number of requests that began too late after the drain. */
    private int late;

    /** The number of those that were sent before a pause or delay between choice and arrival. */
    private int lateInFlight;

    @Override
    public List<Step> steps() {
        return List.of(Step.DRAIN_START, Step.DRAIN_APPLY, Step.DRAIN_WAIT, Step.HAND_BACK);
    }

    @Override
    public List<Finding> run(SimulationContext present) {
        world = present;
        controller = world.process("controller");
        log = new LogClient(world, controller, effect -> {});
        for (int number = 0; number < 3; number++) {
            gateways.add(new Gateway("gateway-" + number));
        }
        SimulatedProcess operator = world.process("operator");
        LogClient operatorLog = new LogClient(world, operator, effect -> {});
        world.onFaults(
                () -> {
                    evicted = true;
                    running = 0;
                },
                () -> operatorLog.append(new LogRecord.DrainEnded("drain", DrainState.OPERATOR)),
                process -> {});
        controller.run(DRAIN_AT_MILLIS - world.now(), () -> world.step(controller, Step.DRAIN_START, this::start));
        world.timeline().runUntil(RUN_MILLIS);
        String counted =
                "cut " + cut + ", late " + late + ", of them in flight " + lateInFlight + ", handed back " + handedBack;
        boolean given = !handedBack && !evicted;
        return List.of(
                Finding.of(Invariant.NO_NEW_WORK, late > lateInFlight, late > 0 || given, counted),
                Finding.of(Invariant.NO_CUT, cut > 0, given, counted));
    }

    /** Writes the drain to the log. */
    private void start() {
        log.append(new LogRecord.DrainStarted("drain", DrainState.OPERATOR, Set.of(SERVER), "cleaning"));
        controller.run(ROUND_MILLIS, () -> world.step(controller, Step.DRAIN_WAIT, this::await));
    }

    /** Awaits the gateways and the running requests. */
    private void await() {
        boolean drained = log.state().drains().isDrained(SERVER);
        boolean quiet = running == 0 && gateways.stream().allMatch(Gateway::isEmptied);
        boolean ready = drained && !controller.isCut() && quiet;
        if (ready || !world.on(Mechanism.DRAIN)) {
            world.step(controller, Step.HAND_BACK, this::handBack);
            return;
        }
        controller.run(ROUND_MILLIS, this::await);
    }

    /** Hands the backend server back. */
    private void handBack() {
        if (!evicted) {
            cut += running;
            handedBack = true;
            world.timeline().note("handed back with " + running + " running");
        }
    }

    /**
     * Takes a request at the backend server.
     *
     * @param chosenAtMillis The time at which the gateway chose the backend server in milliseconds.
     * @return Whether it was taken.
     */
    private boolean take(long chosenAtMillis) {
        if (handedBack || evicted) {
            return false;
        }
        boolean ended = world.log().timeOf(LogRecord.DrainEnded.class) < world.now();
        long fromMillis = world.log().timeOf(LogRecord.DrainStarted.class);
        if (!ended && world.now() - FEW_SECONDS_MILLIS > fromMillis) {
            late++;
            lateInFlight += chosenAtMillis - FEW_SECONDS_MILLIS <= fromMillis ? 1 : 0;
            world.timeline().note("late request, chosen at " + chosenAtMillis);
        }
        running++;
        world.timeline().after(RUN_TIME_MILLIS, () -> running = Math.max(0, running - 1));
        return true;
    }

    /** One gateway. */
    private final class Gateway {

        /** The process. */
        private final SimulatedProcess process;

        /** The log. */
        private final LogClient log;

        /** The requests under way to the backend server. */
        private int underWay;

        /**
         * Creates a gateway and starts it.
         *
         * @param name The name.
         */
        private Gateway(String name) {
            process = world.process(name);
            log = new LogClient(world, process, effect -> {});
            log.append(new LogRecord.GatewayJoined(name, "host-" + name, "data-centre", "address"));
            process.every(REQUEST_MILLIS, this::request);
        }

        /**
         * Tells whether this gateway applied the drain and has nothing under way to the backend server, or is dead.
         *
         * @return Whether it is emptied.
         */
        private boolean isEmptied() {
            if (process.isDead()) {
                return true;
            }
            return process.answers() && underWay == 0 && log.state().drains().isDrained(SERVER);
        }

        /** Sends a request to the backend server unless it is drained. */
        private void request() {
            boolean admits = AdmissionFreshness.Default.INSTANCE.mayAdmit(
                    world.now(),
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
            long chosenAtMillis = world.now();
            underWay++;
            if (world.now() > DRAIN_AT_MILLIS - REQUEST_MILLIS) {
                world.step(process, Step.DRAIN_APPLY, () -> send(chosenAtMillis));
            } else {
                send(chosenAtMillis);
            }
        }

        /**
         * Sends a request.
         *
         * @param chosenAtMillis The time at which the backend server was chosen in milliseconds.
         */
        private void send(long chosenAtMillis) {
            world.call(process, () -> take(chosenAtMillis), taken -> ended(taken), () -> underWay--, RUN_TIME_MILLIS);
        }

        /**
         * Waits for the end of a request.
         *
         * @param taken Whether the backend server took it.
         */
        private void ended(boolean taken) {
            process.run(taken ? RUN_TIME_MILLIS : 0, () -> underWay--);
        }
    }
}
