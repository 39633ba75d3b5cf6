package org.cranberrygauge.decision.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cranberrygauge.decision.fleet.FleetView.ModelDemand;
import org.cranberrygauge.decision.fleet.FleetView.PoolState;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.junit.jupiter.api.Test;

class ForecastFleetPlannerTest {

    private static final String MODEL = "amber-large";
    private static final FleetParameters PARAMETERS = new FleetParameters(100, 1, 60_000, 20_000, 300_000);
    private static final FleetPool REGULAR = pool("dk-east-a", Supply.REGULAR, 50);
    private static final FleetPool CHEAP_A = pool("dk-east-a", Supply.CHEAP, 50);
    private static final FleetPool CHEAP_B = pool("dk-east-b", Supply.CHEAP, 50);
    private static final FleetPool CHEAP_C = pool("dk-east-c", Supply.CHEAP, 50);
    private static final Configuration CONFIGURATION =
            Configuration.empty().withFleet(List.of(REGULAR, CHEAP_A, CHEAP_B, CHEAP_C));

    private final FleetPlanner planner = new ForecastFleetPlanner(PARAMETERS);
    private final Map<String, PoolState> pools = new HashMap<>();

    @Property(seed = "20261203", tries = 300)
    void the_servers_that_remain_after_the_largest_eviction_carry_the_protected_classes(
            @ForAll @IntRange(max = 60) int needed, @ForAll @IntRange(max = 60) int protectedNeeded) {
        FleetAllocation allocation = new FleetAllocation(CONFIGURATION.fleet(), view(0, 0, Set.of()), 0);
        Map<String, Integer> sizes = allocation.divide(needed, Math.min(needed, protectedNeeded));
        int total = sizes.values().stream().mapToInt(Integer::intValue).sum();
        int largest =
                Math.max(sizes.get(CHEAP_A.name()), Math.max(sizes.get(CHEAP_B.name()), sizes.get(CHEAP_C.name())));
        assertThat(total).isGreaterThanOrEqualTo(needed);
        assertThat(total - largest).isGreaterThanOrEqualTo(Math.min(needed, protectedNeeded));
    }

    @Test
    void cheap_servers_are_spread_over_the_data_centres() {
        assertThat(decide(0, 600, 0, Set.of()))
                .extracting(FleetOrder::pool, FleetOrder::desiredCount)
                .containsExactlyInAnyOrder(tuple(CHEAP_A, 2), tuple(CHEAP_B, 2), tuple(CHEAP_C, 2));
    }

    @Test
    void servers_of_a_data_centre_without_supply_are_ordered_in_the_others() {
        assertThat(decide(0, 600, 0, Set.of(CHEAP_B.name())))
                .extracting(FleetOrder::pool, FleetOrder::desiredCount)
                .containsExactlyInAnyOrder(tuple(CHEAP_A, 3), tuple(CHEAP_C, 3));
    }

    @Test
    void servers_are_ordered_ahead_of_growing_demand() {
        FleetPlanner reactive = new FleetPlanner.Reactive(PARAMETERS);
        int ahead = 0;
        int following = 0;
        for (long nowMillis = 0; nowMillis <= 120_000; nowMillis += 5_000) {
            double demand = 500 + nowMillis / 200.0;
            ahead = total(planner.decide(nowMillis, view(demand, 0, Set.of())));
            following = total(reactive.decide(nowMillis, view(demand, 0, Set.of())));
        }
        assertThat(ahead).isGreaterThan(following);
    }

    @Test
    void idle_servers_are_released_only_after_the_idle_time() {
        pools.put(CHEAP_A.name(), new PoolState(2, 0));
        pools.put(CHEAP_B.name(), new PoolState(1, 0));
        pools.put(CHEAP_C.name(), new PoolState(1, 0));
        decide(0, 400, 0, Set.of());
        assertThat(decideUntil(5_000, 290_000, 0)).isEmpty();
        assertThat(decideUntil(295_000, 700_000, 0)).contains(new FleetOrder(CHEAP_A.name(), 0, "idle"));
    }

    @Test
    void a_planner_that_just_took_over_releases_nothing() {
        pools.put(CHEAP_A.name(), new PoolState(4, 0));
        decideUntil(0, 600_000, 400);
        assertThat(decide(910_000, 0, 0, Set.of())).isEmpty();
    }

    @Test
    void a_server_is_kept_until_its_replacement_in_another_data_centre_is_live() {
        pools.put(CHEAP_A.name(), new PoolState(3, 0));
        pools.put(CHEAP_B.name(), new PoolState(0, 1));
        pools.put(CHEAP_C.name(), new PoolState(0, 1));
        assertThat(decideUntil(0, 300_000, 300)).isEmpty();
        pools.put(CHEAP_B.name(), new PoolState(1, 0));
        pools.put(CHEAP_C.name(), new PoolState(1, 0));
        assertThat(decide(305_000, 300, 0, Set.of())).containsExactly(new FleetOrder(CHEAP_A.name(), 1, "idle"));
    }

    @Test
    void a_reserve_for_cleaning_is_ordered_beyond_the_demand() {
        FleetView view = new FleetView(
                CONFIGURATION, pools, Map.of(MODEL, new ModelDemand(0, 300, 0)), Set.of(), Map.of(MODEL, 1));
        assertThat(total(planner.decide(0, view))).isEqualTo(4);
    }

    private List<FleetOrder> decideUntil(long fromMillis, long toMillis, double demand) {
        List<FleetOrder> orders = List.of();
        for (long nowMillis = fromMillis; nowMillis <= toMillis; nowMillis += 5_000) {
            orders = decide(nowMillis, demand, 0, Set.of());
        }
        return orders;
    }

    private List<FleetOrder> decide(long nowMillis, double demand, double protectedDemand, Set<String> unavailable) {
        return planner.decide(nowMillis, view(demand, protectedDemand, unavailable));
    }

    private FleetView view(double demand, double protectedDemand, Set<String> unavailable) {
        Map<String, ModelDemand> demands = Map.of(MODEL, new ModelDemand(protectedDemand, demand, 0));
        return new FleetView(CONFIGURATION, pools, demands, unavailable, Map.of());
    }

    private static int total(List<FleetOrder> orders) {
        return orders.stream().mapToInt(FleetOrder::desiredCount).sum();
    }

    private static org.assertj.core.groups.Tuple tuple(FleetPool pool, int count) {
        return org.assertj.core.groups.Tuple.tuple(pool.name(), count);
    }

    private static FleetPool pool(String dataCentre, Supply supply, int maximum) {
        return new FleetPool(dataCentre, MODEL, supply, 0, maximum, supply == Supply.CHEAP ? 1 : 3);
    }
}
