package org.cranberrygauge.verification.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cranberrygauge.model.record.LogRecord.LeaseClaim;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;
import org.cranberrygauge.protocol.platform.Platform.Order;
import org.cranberrygauge.protocol.platform.Platform.UsageReport;
import org.cranberrygauge.verification.process.Deployment.Node;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaseProcessTest {

    @TempDir
    Path directory;

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void a_lease_holder_paused_before_its_order_never_overwrites_the_order_of_its_successor(boolean checksFencing) {
        try (Deployment deployment = new Deployment(
                directory, "--checks-fencing", String.valueOf(checksFencing), "--list-lag-millis", "50")) {
            startSpares(deployment);
            Map<String, Node> controllers = startControllers(deployment);
            deployment.apply("ole", deployment.withPool(1));
            Await.until("the first order", () -> !deployment.orders().isEmpty());
            int intents = deployment.log(OrderIntent.class).size();
            deployment.apply("ole", deployment.withPool(2));
            String former = Await.value("an intent for the new size", () -> {
                List<OrderIntent> all = deployment.log(OrderIntent.class);
                return all.size() > intents ? hostOf(all.get(all.size() - 1).holder()) : null;
            });
            controllers.get(former).program().signal("STOP");
            String successor = Await.value("a successor", () -> holder(controllers, former));
            deployment.apply("ole", deployment.withPool(3));
            controllers.get(former).program().signal("CONT");
            Await.until("three servers", () -> lastOrder(deployment).desiredCount() == 3);
            Await.until(
                    "the former holder catches up with the log",
                    () -> hasCaughtUp(controllers.get(former), deployment));
            assertThat(successor).isNotEqualTo(former);
            assertThat(lastOrder(deployment).desiredCount()).isEqualTo(3);
            assertThat(deployment.orders())
                    .extracting(Order::fencingNumber)
                    .as("orders of a former holder after those of its successor")
                    .isSorted();
        }
    }

    @Test
    void a_killed_and_a_stopped_lease_holder_are_replaced_and_no_usage_window_is_reported_with_different_figures() {
        try (Deployment deployment = new Deployment(directory, "--list-lag-millis", "50")) {
            startSpares(deployment);
            Map<String, Node> controllers = startControllers(deployment);
            deployment.apply("ole", deployment.withPool(1));
            String first = Await.value("a holder", () -> holder(controllers, ""));
            long startNanos = System.nanoTime();
            controllers.get(first).program().kill();
            String second = Await.value("a second holder", () -> holder(controllers, first));
            Measurements.append("new_holder_after_sigkill_lease_1500_millis", Measurements.since(startNanos));
            startNanos = System.nanoTime();
            controllers.get(second).program().signal("TERM");
            Map<String, Node> remaining = controllers.entrySet().stream()
                    .filter(entry ->
                            !entry.getKey().equals(first) && !entry.getKey().equals(second))
                    .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
            Await.value("a third holder", () -> holder(remaining, second));
            Measurements.append("new_holder_after_sigterm_lease_1500_millis", Measurements.since(startNanos));
            assertThat(controllers.get(second).program().awaitExit()).isZero();
            assertThat(deployment.log(LeaseClaim.class))
                    .extracting(LeaseClaim::holder)
                    .extracting(LeaseProcessTest::hostOf)
                    .contains(first, second);
            Await.until("three windows", () -> deployment.reports().size() >= 3);
            assertSameFigures(deployment.reports());
        }
    }

    @Test
    void lost_answers_and_a_platform_outage_duplicate_no_order_or_report() {
        try (Deployment deployment = new Deployment(directory, "--list-lag-millis", "50")) {
            startSpares(deployment);
            startControllers(deployment);
            deployment.platformFault("lost_answers", 3);
            deployment.apply("ole", deployment.withPool(2));
            Await.until("the order", () -> !deployment.orders().isEmpty());
            deployment.platformFault("platform_outage", 1);
            int orders = deployment.orders().size();
            deployment.apply("ole", deployment.withPool(3));
            Await.until(
                    "a claim in the outage",
                    () -> deployment.log(LeaseClaim.class).size() > 3);
            assertThat(deployment.orders()).hasSize(orders);
            deployment.platformFault("platform_outage", 0);
            deployment.platformFault("lost_answers", 2);
            Await.until("three servers", () -> lastOrder(deployment).desiredCount() == 3);
            Await.until("five windows", () -> deployment.reports().size() >= 5);
            assertSameFigures(deployment.reports());
            assertThat(deployment.orders()).extracting(Order::desiredCount).isSorted();
        }
    }

    @Test
    void an_outage_of_the_log_ends_the_lease_and_queues_a_bounded_number_of_records() {
        try (Deployment deployment = new Deployment(directory, "--list-lag-millis", "50")) {
            startSpares(deployment);
            Map<String, Node> controllers = startControllers(deployment);
            deployment.apply("ole", deployment.withPool(1));
            Await.value("a holder", () -> holder(controllers, ""));
            deployment.platformFault("log_outage", 1);
            Await.until("no holder", () -> holder(controllers, "") == null);
            long untilNanos = System.nanoTime() + 6_000_000_000L;
            List<Long> waiting = new ArrayList<>();
            while (System.nanoTime() - untilNanos < 0) {
                controllers.values().forEach(node -> waiting.add(state(node).appends_waiting()));
            }
            assertThat(waiting).allMatch(count -> count <= 8);
            long startNanos = System.nanoTime();
            deployment.platformFault("log_outage", 0);
            Await.value("a holder after the outage", () -> holder(controllers, ""));
            Measurements.append("new_holder_after_log_outage_lease_1500_millis", Measurements.since(startNanos));
        }
    }

    private static void startSpares(Deployment deployment) {
        deployment.spareEngine("spare-1");
        deployment.spareEngine("spare-2");
        deployment.spareEngine("spare-3");
    }

    private static Map<String, Node> startControllers(Deployment deployment) {
        return List.of("host-a", "host-b", "host-c").stream()
                .collect(Collectors.toMap(Function.identity(), host -> deployment.controller(host)));
    }

    private static Order lastOrder(Deployment deployment) {
        List<Order> orders = deployment.orders();
        return orders.get(orders.size() - 1);
    }

    private static String hostOf(String incarnation) {
        return incarnation.substring(0, incarnation.indexOf('/'));
    }

    private static String holder(Map<String, Node> controllers, String except) {
        for (Map.Entry<String, Node> entry : controllers.entrySet()) {
            boolean candidate = !entry.getKey().equals(except);
            if (candidate && state(entry.getValue()).holds_lease()) {
                return entry.getKey();
            }
        }
        return null;
    }

    private static boolean hasCaughtUp(Node node, Deployment deployment) {
        return state(node).log_offset() > 0
                && state(node).fencing_number() == lastOrder(deployment).fencingNumber();
    }

    private static ControllerState state(Node node) {
        return TestHttpClient.get(node.port(), "/state", ControllerState.class);
    }

    private static void assertSameFigures(List<UsageReport> reports) {
        reports.stream()
                .collect(Collectors.groupingBy(UsageReport::windowId))
                .forEach((window, same) -> assertThat(same)
                        .extracting(UsageReport::figures)
                        .as("figures of window %d", window)
                        .containsOnly(same.get(0).figures()));
    }

    /** The state that a controller reports. */
    record ControllerState(
            String controller, boolean holds_lease, long fencing_number, long appends_waiting, long log_offset) {}
}
