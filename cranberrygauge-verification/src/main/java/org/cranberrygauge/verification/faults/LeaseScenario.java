package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;
import org.cranberrygauge.model.record.LogRecord.OrderOutcome;

/**
 * Two controllers keep the size of a pool at the platform.
 *
 * <p>Orders are counted by the platform. Used by one thread.
 */
final class LeaseScenario implements Scenario {

    /** The length of a run in milliseconds. */
    private static final long RUN_MILLIS = 80_000;

    /** The time from which the wanted size stays in milliseconds. */
    private static final long STEADY_MILLIS = 50_000;

    /** The time between two changes of the wanted size in milliseconds. */
    private static final long CHANGE_MILLIS = 1_500;

    /** The longest time that an order may be under way in milliseconds. */
    private static final long ORDER_MILLIS = 1_000;

    /** The time between two checks for two holders in milliseconds. */
    private static final long CHECK_MILLIS = 10;

    /** What the platform checks. */
    private final PlatformCheck farEnd;

    /** The controllers. */
    private final List<Controller> controllers = new ArrayList<>();

    /** The world. */
    private SimulationContext world;

    /** The size of the pool at the platform. */
    private long size;

    /** The highest fencing number of an order that was carried out. */
    private long highestFencing;

    /** The number of orders that were carried out after one of a successor. */
    private int lateOrders;

    /** The number of checks at which both controllers believed to be in charge. */
    private int twoHolders;

    /** The number of orders that were carried out. */
    private int carriedOut;

    /**
     * Creates a scenario.
     *
     * @param farEnd What the platform checks.
     */
    LeaseScenario(PlatformCheck farEnd) {
        this.farEnd = farEnd;
    }

    /** What the platform checks of an order. */
    enum PlatformCheck {
        /** The fencing number. */
        CHECKS_FENCING,
        /** The deadline only. */
        CHECKS_DEADLINE,
        /** Nothing. */
        CHECKS_NOTHING
    }

    @Override
    public List<Step> steps() {
        return List.of(Step.CLAIM, Step.RENEW, Step.INTENT, Step.ORDER, Step.ANSWER);
    }

    @Override
    public List<Finding> run(SimulationContext present) {
        world = present;
        controllers.add(new Controller("a", 1));
        controllers.add(new Controller("b", 2));
        world.onFaults(
                () -> size = 0,
                () -> size = -1,
                process -> controllers.forEach(
                        controller -> controller.crossed |= controller.holder.process() == process));
        check();
        world.timeline().runUntil(RUN_MILLIS);
        long alive = controllers.stream()
                .filter(controller -> !controller.holder.process().isDead())
                .count();
        boolean settled =
                controllers.stream().anyMatch(controller -> controller.holder.holds() && controller.wanted() == size);
        boolean window = farEnd == PlatformCheck.CHECKS_NOTHING && world.on(Mechanism.FENCING);
        String counted = "orders carried out " + carriedOut + ", of a former holder " + lateOrders + ", two holders at "
                + twoHolders + " checks, size " + size;
        return List.of(
                Finding.of(
                        Invariant.ONE_IN_CHARGE, twoHolders > 0 || lateOrders > 0 && !window, lateOrders > 0, counted),
                Finding.of(Invariant.LAST_ORDER_STANDS, alive > 0 && !settled, alive == 0, counted));
    }

    /**
     * Returns the number of orders of a former holder that were carried out after one of its successor.
     *
     * @return The number.
     */
    int lateOrders() {
        return lateOrders;
    }

    /** Checks that no two controllers believe to be in charge. */
    private void check() {
        if (controllers.stream().filter(controller -> controller.holder.holds()).count() > 1) {
            twoHolders++;
            world.timeline().note("two holders");
        }
        world.timeline().after(CHECK_MILLIS, this::check);
    }

    /**
     * Takes an order at the platform.
     *
     * @param intent The order.
     * @param wanted The size that it asks for.
     * @param deadlineMillis The deadline in milliseconds.
     * @return The identifier of the order.
     */
    private String order(OrderIntent intent, long wanted, long deadlineMillis) {
        boolean checks = world.on(Mechanism.FENCING);
        boolean old = farEnd == PlatformCheck.CHECKS_FENCING && intent.fencingNumber() < highestFencing;
        boolean late = farEnd != PlatformCheck.CHECKS_NOTHING && world.now() > deadlineMillis;
        if (checks && (old || late)) {
            world.timeline().note("platform refuses " + intent.orderId());
            return intent.orderId();
        }
        carriedOut++;
        lateOrders += intent.fencingNumber() < highestFencing ? 1 : 0;
        highestFencing = Math.max(highestFencing, intent.fencingNumber());
        size = wanted;
        world.timeline().note("platform carries out " + intent.orderId());
        return intent.orderId();
    }

    /** One controller. */
    private final class Controller {

        /** The number of the controller. */
        private final int number;

        /** The lease. */
        private final LeaseHolder holder;

        /** The fencing number for which the wait of a new holder runs or ran. */
        private long waitedFencing = -1;

        /** The time until which a new holder waits in milliseconds. */
        private long waitUntilMillis;

        /** Whether an order is under way. */
        private boolean busy;

        /** Whether the next answer belongs to another order. */
        private boolean crossed;

        /** The number of orders so far. */
        private int orders;

        /**
         * Creates a controller.
         *
         * @param name The name.
         * @param number The number.
         */
        private Controller(String name, int number) {
            this.number = number;
            holder = new LeaseHolder(world, name, this::onEffect, this::plan);
        }

        /**
         * Returns the size that this controller wants now, which no other wants.
         *
         * @return The size.
         */
        private long wanted() {
            return Math.min(world.now(), STEADY_MILLIS) / CHANGE_MILLIS * 10 + number;
        }

        /** Writes the intent of an order if one is due. */
        private void plan() {
            if (waitedFencing != holder.keeper().fencingNumber()) {
                waitedFencing = holder.keeper().fencingNumber();
                waitUntilMillis = world.now() + ORDER_MILLIS;
                busy = false;
            }
            if (busy || world.now() < waitUntilMillis || size == wanted()) {
                return;
            }
            busy = true;
            orders++;
            OrderIntent intent = new OrderIntent(
                    holder.process().name() + "." + orders,
                    holder.process().name(),
                    waitedFencing,
                    "pool",
                    number,
                    "demand");
            world.step(holder.process(), Step.INTENT, () -> holder.log().append(intent));
        }

        /**
         * Sends an order whose intent was read back.
         *
         * @param effect The effect.
         */
        private void onEffect(ApplyResult effect) {
            if (!(effect instanceof ApplyResult.IntentResult judged)
                    || !judged.intent().holder().equals(holder.process().name())) {
                return;
            }
            boolean allowed = judged.valid() && holder.keeper().remainingMillis(world.now()) > ORDER_MILLIS;
            if (world.on(Mechanism.FENCING) && !allowed) {
                busy = false;
                return;
            }
            long deadlineMillis = world.now() + ORDER_MILLIS;
            long wanted = wanted();
            world.step(
                    holder.process(),
                    Step.ORDER,
                    () -> world.call(
                            holder.process(),
                            () -> order(judged.intent(), wanted, deadlineMillis),
                            answer -> world.step(holder.process(), Step.ANSWER, () -> ended(judged.intent(), answer)),
                            () -> busy = false,
                            ORDER_MILLIS));
        }

        /**
         * Takes the answer to an order.
         *
         * @param intent The order.
         * @param answer The identifier that the answer names.
         */
        private void ended(OrderIntent intent, String answer) {
            busy = false;
            String named = crossed ? "another order" : answer;
            crossed = false;
            if (named.equals(intent.orderId())) {
                holder.log().append(new OrderOutcome(intent.orderId(), intent.fencingNumber(), "done"));
            }
        }
    }
}
