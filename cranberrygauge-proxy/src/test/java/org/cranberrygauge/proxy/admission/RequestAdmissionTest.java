package org.cranberrygauge.proxy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.admission.RequestAdmission.Verdict;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.store.Confirmation;
import org.junit.jupiter.api.Test;

class RequestAdmissionTest {

    private static final long WALL = 5_000_000;

    private final RequestAdmission gate = new RequestAdmission(4_750, 2_000);

    private final ConfigurationView view = new ConfigurationView(
            Optional.of(ProxyFixtures.configuration(
                    3,
                    ProxyFixtures.route("/work/", RouteKind.IDEMPOTENT, 1, false),
                    ProxyFixtures.route("/open/", RouteKind.IDEMPOTENT, 1, true))),
            new Confirmation(0, WALL));

    @Test
    void takesARequestOfAKnownKey() {
        Verdict verdict = decide(100, "/work/x", Optional.of("key-1"));
        assertThat(verdict.customer()).contains("customer-1");
        assertThat(verdict.rejection()).isEmpty();
        assertThat(verdict.urgency()).isEqualTo(1);
    }

    @Test
    void rejectsAnUnknownKeyOrRouteWhileTheConfigurationIsRecent() {
        assertThat(decide(100, "/work/x", Optional.of("other")).rejection()).contains(RejectReason.UNKNOWN_KEY);
        assertThat(decide(100, "/work/x", Optional.empty()).rejection()).contains(RejectReason.NO_KEY);
        assertThat(decide(100, "/none/x", Optional.of("key-1")).rejection()).contains(RejectReason.UNKNOWN_ROUTE);
    }

    @Test
    void callsNothingUnknownWhileTheConfigurationMayBeOld() {
        assertThat(decide(2_000, "/work/x", Optional.of("other")).rejection())
                .contains(RejectReason.STALE_CONFIGURATION);
        assertThat(decide(2_000, "/none/x", Optional.of("key-1")).rejection())
                .contains(RejectReason.STALE_CONFIGURATION);
    }

    @Test
    void honoursAKeyOnlyWhileAWithdrawalWouldBeKnown() {
        assertThat(decide(4_749, "/work/x", Optional.of("key-1")).rejection()).isEmpty();
        assertThat(decide(4_750, "/work/x", Optional.of("key-1")).rejection())
                .contains(RejectReason.STALE_CONFIGURATION);
    }

    @Test
    void servesOpenRoutesWithAnOldConfiguration() {
        assertThat(decide(60_000, "/open/x", Optional.empty()).rejection()).isEmpty();
    }

    @Test
    void promisesThatNothingRanBeforeAConfigurationIsKnown() {
        Verdict verdict = gate.decide(0, WALL, ConfigurationView.NONE, "api.example", "/work/x", Optional.empty());
        assertThat(verdict.rejection()).contains(RejectReason.NO_CONFIGURATION);
        assertThat(RejectReason.NO_CONFIGURATION.status()).isEqualTo(503);
    }

    private Verdict decide(long now, String path, Optional<String> key) {
        return gate.decide(now, WALL + now, view, "api.example", path, key);
    }
}
