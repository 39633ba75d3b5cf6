package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.store.Confirmation;
import org.junit.jupiter.api.Test;

/** Answers the pattern of callers that come back at once after all hosts were stopped. */
class StartupGateTest {

    private final StartupGate hold = new StartupGate();

    private final ProxyState state = new ProxyState();

    @Test
    void aRequestWaitsUntilConfigurationAndBackendServersAreKnown() {
        assertThat(hold.holds(100, 0, state)).isTrue();
        state.publish(new ConfigurationView(Optional.of(ProxyFixtures.configuration(1)), new Confirmation(0, 0)));
        assertThat(hold.holds(150, 0, state)).isTrue();
        state.publish(new BackendSnapshot(List.of(), true));
        assertThat(hold.holds(160, 0, state)).isFalse();
    }

    @Test
    void aRequestDoesNotWaitForLong() {
        assertThat(hold.holds(399, 0, state)).isTrue();
        assertThat(hold.holds(400, 0, state)).isFalse();
    }

    @Test
    void aRequestDoesNotWaitWhileTheHostDrains() {
        state.drain(0);
        assertThat(hold.holds(1, 0, state)).isFalse();
    }
}
