package org.cranberrygauge.verification.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.decision.fleet.FleetPlanner;
import org.cranberrygauge.decision.fleet.ForecastFleetPlanner;
import org.cranberrygauge.verification.fleet.FleetScenario.Kind;
import org.junit.jupiter.api.Test;

class FleetSimulationTest {

    @Test
    void the_same_seed_gives_the_same_figures() {
        assertThat(forecast(Kind.QUIET)).isEqualTo(forecast(Kind.QUIET));
    }

    @Test
    void an_eviction_harms_fewer_protected_tokens_than_with_the_reactive_baseline() {
        FleetScenario scenario = FleetScenario.kartuli(Kind.EVICTION, 1);
        FleetResult reactive = new FleetSimulation(scenario, new FleetPlanner.Reactive(scenario.parameters())).run();
        assertThat(forecast(Kind.EVICTION).missedTokens()).isLessThan(reactive.missedTokens());
    }

    private static FleetResult forecast(Kind kind) {
        FleetScenario scenario = FleetScenario.kartuli(kind, 1);
        return new FleetSimulation(scenario, new ForecastFleetPlanner(scenario.parameters())).run();
    }
}
