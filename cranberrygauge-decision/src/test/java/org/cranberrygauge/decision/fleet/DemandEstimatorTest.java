package org.cranberrygauge.decision.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.fleet.DemandEstimator.GatewayLoad;
import org.cranberrygauge.decision.fleet.FleetView.ModelDemand;
import org.cranberrygauge.decision.usage.UsageSignals;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.cranberrygauge.model.service.ServiceClass;
import org.junit.jupiter.api.Test;

class DemandEstimatorTest {

    private static final Configuration CONFIGURATION = Configuration.empty()
            .withClasses(List.of(serviceClass("chat", 1), serviceClass("study", 3)))
            .withFleet(List.of(new FleetPool("dk-east-a", "amber-large", Supply.CHEAP, 0, 4, 1)));

    private final DemandEstimator estimator = new DemandEstimator();

    @Test
    void the_rate_is_what_gateways_counted_since_the_last_round_and_all_but_the_lowest_tier_is_protected() {
        observe(load("host-1/1", 0, 1_000, 500, 0));
        assertThat(observe(load("host-1/1", 2_000, 1_400, 700, 0))).isEqualTo(new ModelDemand(200, 300, 0));
    }

    @Test
    void a_replaced_gateway_contributes_no_rate_until_its_next_report() {
        observe(load("host-1/1", 0, 1_000, 500, 0));
        assertThat(observe(load("host-1/2", 2_000, 9_000, 9_000, 0))).isEqualTo(ModelDemand.NONE);
    }

    @Test
    void a_repeated_report_leaves_the_rate_unchanged() {
        observe(load("host-1/1", 0, 1_000, 500, 0));
        ModelDemand demand = observe(load("host-1/1", 2_000, 1_400, 700, 0));
        assertThat(observe(load("host-1/1", 2_000, 1_400, 700, 0))).isEqualTo(demand);
    }

    @Test
    void waiting_requests_count_with_the_mean_length_of_their_class() {
        assertThat(observe(load("host-1/1", 0, 1_000, 500, 3)).waitingTokens()).isEqualTo(300);
    }

    private ModelDemand observe(GatewayLoad load) {
        return estimator.observe(CONFIGURATION, List.of(), List.of(load)).get("amber-large");
    }

    private static GatewayLoad load(String gateway, long atMillis, long chatTokens, long studyTokens, int waiting) {
        Map<String, Double> signals = UsageSignals.of(Map.of(
                new UsageKey("odense-heritage", "chat"), new UsageFigures(10, 0, chatTokens),
                new UsageKey("odense-heritage", "study"), new UsageFigures(10, 0, studyTokens)));
        return new GatewayLoad(gateway, atMillis, signals, Map.of("chat", waiting), Map.of());
    }

    private static ServiceClass serviceClass(String name, int tier) {
        return new ServiceClass(name, tier, 0.1, 1_000, 50, 5_000, 100);
    }
}
