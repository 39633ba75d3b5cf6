package org.cranberrygauge.proxy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.admission.RequestAdmission.Decision;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.store.Confirmation;
import org.junit.jupiter.api.Test;

class RequestAdmissionTest {

    private static final long WALL = 5_000_000;

    private final RequestAdmission admission = new RequestAdmission(4_750, 2_000);

    private final ConfigurationView view = new ConfigurationView(
            Optional.of(ProxyFixtures.configuration(
                    3,
                    ProxyFixtures.route("/work/", RouteKind.IDEMPOTENT, 1, false),
                    ProxyFixtures.route("/open/", RouteKind.IDEMPOTENT, 1, true))),
            new Confirmation(0, WALL));

    @Test
    void admitsARequestWithAKnownKey() {
        Decision decision = decide(100, "/work/x", Optional.of("key-1"));
        assertThat(decision.customer()).contains("customer-1");
        assertThat(decision.rejection()).isEmpty();
        assertThat(decision.urgency()).isEqualTo(1);
    }

    @Test
    void rejectsAnUnknownKeyOrRouteWhileTheConfigurationIsRecent() {
        assertThat(decide(100, "/work/x", Optional.of("other")).rejection()).contains(RejectReason.UNKNOWN_KEY);
        assertThat(decide(100, "/work/x", Optional.empty()).rejection()).contains(RejectReason.NO_KEY);
        assertThat(decide(100, "/none/x", Optional.of("key-1")).rejection()).contains(RejectReason.UNKNOWN_ROUTE);
    }

    @Test
    void rejectsNothingAsUnknownWhileTheConfigurationMayBeOutdated() {
        assertThat(decide(2_000, "/work/x", Optional.of("other")).rejection())
                .contains(RejectReason.STALE_CONFIGURATION);
        assertThat(decide(2_000, "/none/x", Optional.of("key-1")).rejection())
                .contains(RejectReason.STALE_CONFIGURATION);
    }

    @Test
    void honoursAKeyOnlyWhileItsWithdrawalWouldBeKnown() {
        assertThat(decide(4_749, "/work/x", Optional.of("key-1")).rejection()).isEmpty();
        assertThat(decide(4_750, "/work/x", Optional.of("key-1")).rejection())
                .contains(RejectReason.STALE_CONFIGURATION);
    }

    @Test
    void admitsOpenRoutesWithAnOutdatedConfiguration() {
        assertThat(decide(60_000, "/open/x", Optional.empty()).rejection()).isEmpty();
    }

    @Test
    void rejectsAsNotRunBeforeAConfigurationIsKnown() {
        Decision decision =
                admission.decide(0, WALL, ConfigurationView.NONE, "api.example", "/work/x", Optional.empty());
        assertThat(decision.rejection()).contains(RejectReason.NO_CONFIGURATION);
        assertThat(RejectReason.NO_CONFIGURATION.status()).isEqualTo(503);
    }

    private Decision decide(long now, String path, Optional<String> key) {
        return admission.decide(now, WALL + now, view, "api.example", path, key);
    }
}
