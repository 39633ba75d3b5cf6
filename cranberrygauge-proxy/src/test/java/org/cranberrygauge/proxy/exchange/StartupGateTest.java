package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.cranberrygauge.decision.stop.PlannedStop;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.store.Confirmation;
import org.junit.jupiter.api.Test;

/** Guards against rejected requests when callers reconnect before a restarted host has read its state. */
class StartupGateTest {

    private final StartupGate gate = new StartupGate();

    private final ProxyBlackboard blackboard = new ProxyBlackboard();

    @Test
    void aRequestWaitsUntilConfigurationAndBackendServersAreKnown() {
        assertThat(gate.mustWait(100, 0, blackboard)).isTrue();
        blackboard.publish(new ConfigurationView(Optional.of(ProxyFixtures.configuration(1)), new Confirmation(0, 0)));
        assertThat(gate.mustWait(150, 0, blackboard)).isTrue();
        blackboard.publish(new BackendSnapshot(List.of(), true));
        assertThat(gate.mustWait(160, 0, blackboard)).isFalse();
    }

    @Test
    void aRequestWaitsForABoundedTime() {
        assertThat(gate.mustWait(399, 0, blackboard)).isTrue();
        assertThat(gate.mustWait(400, 0, blackboard)).isFalse();
    }

    @Test
    void aRequestDoesNotWaitWhileTheHostDrains() {
        blackboard.publish(new PlannedStop(2_800, 7_200));
        assertThat(gate.mustWait(1, 0, blackboard)).isFalse();
    }
}
