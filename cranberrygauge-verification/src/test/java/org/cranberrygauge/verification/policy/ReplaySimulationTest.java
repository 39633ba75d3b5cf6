package org.cranberrygauge.verification.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.cranberrygauge.emulator.replay.ProfileGenerator;
import org.cranberrygauge.emulator.replay.Trace;
import org.cranberrygauge.emulator.replay.TraceProfile;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ReplaySimulationTest {

    private static final long SEED = 1;

    private final Configuration configuration =
            ExampleDeployments.read(Path.of("..", "examples", "skillingbrond.yaml"));

    ReplaySimulationTest() throws CranberrygaugeException {}

    @Test
    void the_same_seed_gives_the_same_figures() {
        assertThat(replay(TraceProfile.UNEVEN_ARRIVAL, PolicyVariant.OURS))
                .isEqualTo(replay(TraceProfile.UNEVEN_ARRIVAL, PolicyVariant.OURS));
    }

    @ParameterizedTest
    @EnumSource(
            value = TraceProfile.class,
            names = {"QUIET", "DATA_CENTRE_EVICTION", "SLOW_ENGINE", "RETRY_STORM"})
    void our_policy_meets_the_acceptance_criteria(TraceProfile profile) {
        ReplayResult result = replay(profile, PolicyVariant.OURS);
        assertThat(AcceptanceCriteria.of(profile).unmetCriteria(result, "field-crew-chat"))
                .isEmpty();
    }

    @Test
    void the_monitor_detects_shedding_by_a_queue_without_tiers() {
        ReplayResult result = replay(TraceProfile.HIGH_TIER_BURST, variant("first-in-first-out"));
        assertThat(result.shedWhileLowerTierRan()).isPositive();
    }

    @Test
    void the_monitor_detects_starvation_under_strict_priority() {
        ReplayResult result = replay(TraceProfile.HIGH_TIER_BURST, variant("strict-priority"));
        assertThat(result.worstStarvation()).isGreaterThan(1.5);
    }

    private static PolicyVariant variant(String name) {
        return PolicyVariant.all().stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private ReplayResult replay(TraceProfile profile, PolicyVariant variant) {
        Trace trace = new ProfileGenerator(configuration).generate(profile, SEED);
        return new ReplaySimulation(configuration, trace, variant).run();
    }
}
