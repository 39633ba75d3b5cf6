package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.FleetLimits;
import org.junit.jupiter.api.Test;

/**
 * Guards the cost of the fleet in normal operation and its recovery after the provider reclaims all cheap servers of a
 * data centre.
 */
class FleetPlanTest {

    private static final FleetLimits LIMITS = new FleetLimits(1, 8, 4_000, 0.22, Map.of("a", 1.0, "b", 0.8, "c", 1.25));

    private final FleetPlan plan = new FleetPlan("engines");

    @Test
    void ordersNothingBeforeTheListIsComplete() {
        assertThat(decide(0, LIMITS, List.of(), 0)).isEmpty();
        assertThat(decide(1_000, LIMITS, regular(2), 0)).isEmpty();
        assertThat(decide(5_499, LIMITS, regular(8), 0)).isEmpty();
        assertThat(decide(5_500, LIMITS, regular(8), 0)).isNotEmpty();
    }

    @Test
    void spreadsCheapServersAndKeepsRegularOnesUntilTheyAreReady() {
        List<BackendOrder> orders = settled(regular(8), 0);
        assertThat(orders).extracting(BackendOrder::supply).containsOnly(Supply.CHEAP);
        assertThat(orders.stream().mapToInt(BackendOrder::number).sum()).isEqualTo(10);
        assertThat(orders).allSatisfy(order -> assertThat(order.number()).isBetween(3, 4));
    }

    @Test
    void releasesRegularServersOnceCheapOnesAreReady() {
        settled(regular(8), 0);
        List<Backend> present = regular(8);
        present.addAll(cheap(4, 3, 3));
        List<BackendOrder> orders = decide(9_000, LIMITS, present, 5);
        assertThat(orders).extracting(BackendOrder::supply).containsOnly(Supply.REGULAR);
        assertThat(orders.stream().mapToInt(BackendOrder::number).sum()).isEqualTo(1);
    }

    @Test
    void aDataCentreWithoutAvailableCapacityIsSkippedForATime() {
        List<BackendOrder> first = settled(regular(8), 0);
        BackendOrder unavailable = first.stream()
                .filter(order -> order.dataCentre().equals("c"))
                .findFirst()
                .orElseThrow();
        plan.orderRejected(5_600, unavailable);
        List<BackendOrder> next = decide(6_000, LIMITS, regular(8), 5);
        assertThat(next)
                .contains(new BackendOrder("engines", "a", Supply.CHEAP, 5))
                .contains(new BackendOrder("engines", "b", Supply.CHEAP, 5));
    }

    @Test
    void regularServersReplaceCheapOnesThatDoNotArrive() {
        settled(regular(8), 0);
        decide(9_000, LIMITS, with(regular(1), cheap(4, 3, 3)), 8);
        List<Backend> reclaimed = with(regular(1), cheap(0, 3, 3));
        decide(20_000, LIMITS, reclaimed, 8);
        plan.orderRejected(20_100, new BackendOrder("engines", "b", Supply.CHEAP, 4));
        decide(20_500, LIMITS, reclaimed, 8);
        List<BackendOrder> orders = decide(28_000, LIMITS, reclaimed, 8);
        assertThat(orders).anySatisfy(order -> assertThat(order.supply()).isEqualTo(Supply.REGULAR));
    }

    @Test
    void growsAtOnceWithTheDemandAndShrinksSlowly() {
        settled(regular(8), 0);
        List<BackendOrder> grown = decide(6_000, LIMITS, regular(8), 13);
        assertThat(grown.stream()
                        .filter(order -> order.supply() == Supply.CHEAP)
                        .mapToInt(BackendOrder::number)
                        .sum())
                .isGreaterThan(10);
        List<Backend> present = with(regular(0), cheap(5, 4, 4));
        decide(10_000, LIMITS, present, 13);
        assertThat(cheapTotal(decide(17_000, LIMITS, present, 1), 13)).isEqualTo(13);
        decide(18_500, LIMITS, present, 1);
        assertThat(cheapTotal(decide(27_000, LIMITS, present, 1), 13)).isLessThan(13);
    }

    @Test
    void regularServersReplaceUnavailableCheapOnesOnlyAsTheDemandRequires() {
        List<BackendOrder> orders = ordersAfterAReclaimWithoutAvailableCapacity();
        assertThat(orders.stream()
                        .filter(order -> order.supply() == Supply.REGULAR)
                        .mapToInt(BackendOrder::number)
                        .sum())
                .isLessThanOrEqualTo(1);
    }

    @Test
    void aDataCentreWithoutAvailableCapacityKeepsItsServers() {
        assertThat(ordersAfterAReclaimWithoutAvailableCapacity())
                .noneMatch(order -> order.supply() == Supply.CHEAP && order.number() < 3);
    }

    @Test
    void aNewLeaderReplacesALostDataCentreAtOnce() {
        List<Backend> before = with(regular(1), cheap(4, 3, 3));
        plan.observe(0, LIMITS, before, 5);
        plan.observe(6_000, LIMITS, before, 5);
        List<Backend> reclaimed = with(regular(1), cheap(0, 3, 3));
        plan.observe(7_800, LIMITS, reclaimed, 5);
        plan.beginTerm();
        List<BackendOrder> orders = plan.decide(7_800, LIMITS, reclaimed);
        assertThat(orders).contains(new BackendOrder("engines", "b", Supply.CHEAP, 5));
        assertThat(orders.stream()
                        .filter(order -> order.supply() == Supply.CHEAP)
                        .mapToInt(BackendOrder::number)
                        .sum())
                .isEqualTo(14);
    }

    @Test
    void aHostThatLeadsAgainRepeatsItsOrders() {
        List<BackendOrder> first = settled(regular(8), 0);
        assertThat(decide(5_600, LIMITS, regular(8), 0)).isEmpty();
        plan.beginTerm();
        assertThat(decide(5_700, LIMITS, regular(8), 0)).isEqualTo(first);
    }

    private List<BackendOrder> ordersAfterAReclaimWithoutAvailableCapacity() {
        settled(regular(8), 0);
        decide(9_000, LIMITS, with(regular(1), cheap(4, 3, 3)), 4);
        List<Backend> reclaimed = with(regular(1), cheap(0, 3, 3));
        List<BackendOrder> orders = new ArrayList<>(decide(20_000, LIMITS, reclaimed, 4));
        for (String dataCentre : List.of("a", "b", "c")) {
            plan.orderRejected(20_100, new BackendOrder("engines", dataCentre, Supply.CHEAP, 4));
        }
        orders.addAll(decide(20_500, LIMITS, reclaimed, 4));
        return orders;
    }

    private List<BackendOrder> decide(
            long nowMillis, FleetLimits limits, List<Backend> present, double demandedServers) {
        plan.observe(nowMillis, limits, present, demandedServers);
        return plan.decide(nowMillis, limits, present);
    }

    private List<BackendOrder> settled(List<Backend> present, double demandedServers) {
        decide(0, LIMITS, present, demandedServers);
        return decide(5_000, LIMITS, present, demandedServers);
    }

    private static int cheapTotal(List<BackendOrder> orders, int before) {
        int total = before;
        Map<String, Integer> present = Map.of("a", 4, "b", 5, "c", 4);
        for (BackendOrder order : orders) {
            if (order.supply() == Supply.CHEAP) {
                total += order.number() - present.get(order.dataCentre());
            }
        }
        return total;
    }

    private static List<Backend> with(List<Backend> regular, List<Backend> cheap) {
        List<Backend> all = new ArrayList<>(regular);
        all.addAll(cheap);
        return all;
    }

    private static List<Backend> regular(int number) {
        List<Backend> backends = new ArrayList<>();
        String[] dataCentres = {"a", "b", "c"};
        for (int index = 0; index < number; index++) {
            backends.add(ProxyFixtures.backend(
                    "regular-" + index, "engines", dataCentres[index % 3], false, Supply.REGULAR));
        }
        return backends;
    }

    private static List<Backend> cheap(int inB, int inA, int inC) {
        List<Backend> backends = new ArrayList<>();
        for (int index = 0; index < inB; index++) {
            backends.add(ProxyFixtures.backend("cheap-b" + index, "engines", "b", false, Supply.CHEAP));
        }
        for (int index = 0; index < inA; index++) {
            backends.add(ProxyFixtures.backend("cheap-a" + index, "engines", "a", false, Supply.CHEAP));
        }
        for (int index = 0; index < inC; index++) {
            backends.add(ProxyFixtures.backend("cheap-c" + index, "engines", "c", false, Supply.CHEAP));
        }
        return backends;
    }
}
