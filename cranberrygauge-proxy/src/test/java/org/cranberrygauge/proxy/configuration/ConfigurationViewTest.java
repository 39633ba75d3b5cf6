package org.cranberrygauge.proxy.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.store.Confirmation;
import org.junit.jupiter.api.Test;

class ConfigurationViewTest {

    private static final long WALL = 1_000_000;

    private final ConfigurationView view =
            new ConfigurationView(Optional.of(ProxyFixtures.configuration(1)), new Confirmation(10_000, WALL));

    @Test
    void isFreshBelowTheMaximumAge() {
        assertThat(view.isFresh(14_999, WALL + 4_999, 5_000)).isTrue();
        assertThat(view.isFresh(15_000, WALL + 5_000, 5_000)).isFalse();
    }

    @Test
    void isNotFreshAfterTheHostWasSuspended() {
        assertThat(view.isFresh(10_100, WALL + 6_100, 5_000)).isFalse();
    }

    @Test
    void staysFreshWhenTheWallClockIsSetBack() {
        assertThat(view.isFresh(10_100, WALL - 2_000, 5_000)).isTrue();
    }

    @Test
    void isNeverFreshWithoutAConfiguration() {
        assertThat(ConfigurationView.NONE.isFresh(0, 0, 5_000)).isFalse();
    }
}
