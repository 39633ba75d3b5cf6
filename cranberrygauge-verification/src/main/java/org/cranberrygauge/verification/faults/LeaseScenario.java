package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;
import org.cranberrygauge.model.record.LogRecord.OrderOutcome;

/**
 * Two controllers keep a pool at its desired size on the platform.
 *
 * <p>The platform counts orders. Not thread-safe.
 */
final class LeaseScenario implements Scenario {

    private static final long RUN_MILLIS = 80_000;

    /** The time from which the desired size no longer changes. */
    private static final long STEADY_MILLIS = 50_000;

    /** The interval between two changes of the desired size. */
    private static final long SIZE_CHANGE_MILLIS = 1_500;

    private static final long ORDER_TIMEOUT_MILLIS = 1_000;

    /** The interval between two checks for concurrent lease holders. */
    private static final long HOLDER_CHECK_MILLIS = 10;

    private final PlatformCheck platformCheck;

    private final List<Controller> controllers = new ArrayList<>();

    private SimulationContext context;

    /** The size of the pool at the platform. */
    private long size;

    /** The highest fencing number of an order that was carried out. */
    private long highestFencing;

    /** The number of orders carried out after one of a later lease holder. */
    private int lateOrders;

    /** The number of checks at which both controllers believed to hold the lease. */
    private int concurrentHolders;

    private int carriedOut;

    LeaseScenario(PlatformCheck platformCheck) {
        this.platformCheck = platformCheck;
    }

    /** What the platform checks of an order. */
    enum PlatformCheck {
        CHECKS_FENCING,
        CHECKS_DEADLINE,
        CHECKS_NOTHING
    }

    @Override
    public List<Step> steps() {
        return List.of(Step.CLAIM, Step.RENEW, Step.INTENT, Step.ORDER, Step.ANSWER);
    }

    @Override
    public List<Finding> run(SimulationContext runContext) {
        context = runContext;
        controllers.add(new Controller("a", 1));
        controllers.add(new Controller("b", 2));
        context.onFaults(
                () -> size = 0,
                () -> size = -1,
                process -> controllers.forEach(
                        controller -> controller.misdeliverNext |= controller.holder.process() == process));
        check();
        context.scheduler().runUntil(RUN_MILLIS);
        long aliveCount = controllers.stream()
                .filter(controller -> !controller.holder.process().isDead())
                .count();
        boolean settled = controllers.stream()
                .anyMatch(controller -> controller.holder.holds() && controller.desiredSize() == size);
        boolean uncheckedOverlapAllowed =
                platformCheck == PlatformCheck.CHECKS_NOTHING && context.isEnabled(Mechanism.FENCING);
        String counted = "orders carried out " + carriedOut + ", of a former holder " + lateOrders + ", two holders at "
                + concurrentHolders + " checks, size " + size;
        return List.of(
                Finding.of(
                        Invariant.ONE_IN_CHARGE,
                        concurrentHolders > 0 || lateOrders > 0 && !uncheckedOverlapAllowed,
                        lateOrders > 0,
                        counted),
                Finding.of(Invariant.LAST_ORDER_STANDS, aliveCount > 0 && !settled, aliveCount == 0, counted));
    }

    /** Returns the number of orders carried out after one of a later lease holder. */
    int lateOrders() {
        return lateOrders;
    }

    /** Checks that no two controllers believe to hold the lease. */
    private void check() {
        if (controllers.stream().filter(controller -> controller.holder.holds()).count() > 1) {
            concurrentHolders++;
            context.scheduler().trace("two holders");
        }
        context.scheduler().after(HOLDER_CHECK_MILLIS, this::check);
    }

    /** Handles an order at the platform and returns the identifier of the order, as the platform's answer. */
    private String order(OrderIntent intent, long desiredSize, long deadlineMillis) {
        boolean checks = context.isEnabled(Mechanism.FENCING);
        boolean staleFencing = platformCheck == PlatformCheck.CHECKS_FENCING && intent.fencingNumber() < highestFencing;
        boolean late = platformCheck != PlatformCheck.CHECKS_NOTHING && context.now() > deadlineMillis;
        if (checks && (staleFencing || late)) {
            context.scheduler().trace("platform refuses " + intent.orderId());
            return intent.orderId();
        }
        carriedOut++;
        lateOrders += intent.fencingNumber() < highestFencing ? 1 : 0;
        highestFencing = Math.max(highestFencing, intent.fencingNumber());
        size = desiredSize;
        context.scheduler().trace("platform carries out " + intent.orderId());
        return intent.orderId();
    }

    /** A simulated controller, which orders its desired pool size while it holds the lease. */
    private final class Controller {

        private final int number;

        private final LeaseHolder holder;

        /** The fencing number for which the initial wait of a new holder runs or has run. */
        private long waitedFencing = -1;

        /** The time until which a new holder waits before it orders. */
        private long waitUntilMillis;

        private boolean orderInFlight;

        /** Whether the next answer is one that belongs to another order. */
        private boolean misdeliverNext;

        private int orders;

        private Controller(String name, int number) {
            this.number = number;
            holder = new LeaseHolder(context, name, this::onApplied, this::orderIfDue);
        }

        /** Returns the size that this controller orders now; the other controller never orders the same. */
        private long desiredSize() {
            return Math.min(context.now(), STEADY_MILLIS) / SIZE_CHANGE_MILLIS * 10 + number;
        }

        /** Appends the intent of an order if one is due. */
        private void orderIfDue() {
            if (waitedFencing != holder.elector().fencingNumber()) {
                waitedFencing = holder.elector().fencingNumber();
                waitUntilMillis = context.now() + ORDER_TIMEOUT_MILLIS;
                orderInFlight = false;
            }
            if (orderInFlight || context.now() < waitUntilMillis || size == desiredSize()) {
                return;
            }
            orderInFlight = true;
            orders++;
            OrderIntent intent = new OrderIntent(
                    holder.process().name() + "." + orders,
                    holder.process().name(),
                    waitedFencing,
                    "pool",
                    number,
                    "demand");
            context.step(holder.process(), Step.INTENT, () -> holder.log().append(intent));
        }

        /** Sends an order whose intent was read back from the log. */
        private void onApplied(ApplyResult applied) {
            if (!(applied instanceof ApplyResult.IntentResult result)
                    || !result.intent().holder().equals(holder.process().name())) {
                return;
            }
            boolean allowed = result.valid() && holder.elector().remainingMillis(context.now()) > ORDER_TIMEOUT_MILLIS;
            if (context.isEnabled(Mechanism.FENCING) && !allowed) {
                orderInFlight = false;
                return;
            }
            long deadlineMillis = context.now() + ORDER_TIMEOUT_MILLIS;
            long desiredSize = desiredSize();
            context.step(
                    holder.process(),
                    Step.ORDER,
                    () -> context.call(
                            holder.process(),
                            () -> order(result.intent(), desiredSize, deadlineMillis),
                            answer -> context.step(holder.process(), Step.ANSWER, () -> ended(result.intent(), answer)),
                            () -> orderInFlight = false,
                            ORDER_TIMEOUT_MILLIS));
        }

        /** Records the outcome if the answer names this order. */
        private void ended(OrderIntent intent, String answer) {
            orderInFlight = false;
            String answeredOrderId = misdeliverNext ? "another order" : answer;
            misdeliverNext = false;
            if (answeredOrderId.equals(intent.orderId())) {
                holder.log().append(new OrderOutcome(intent.orderId(), intent.fencingNumber(), "done"));
            }
        }
    }
}
