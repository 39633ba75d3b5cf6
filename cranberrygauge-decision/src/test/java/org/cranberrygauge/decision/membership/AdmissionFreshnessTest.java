package org.cranberrygauge.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class AdmissionFreshnessTest {

    private static final long FRESHNESS_MILLIS = 3_000;
    private static final long NOW_MILLIS = 100_000;
    private static final long LONG_AGO_MILLIS = 10_000;

    private final AdmissionFreshness rule = AdmissionFreshness.Default.INSTANCE;

    @Test
    void a_fresh_member_admits_and_one_that_was_declared_gone_does_not() {
        assertThat(rule.mayAdmit(NOW_MILLIS, view(NOW_MILLIS - FRESHNESS_MILLIS, true, 3)))
                .isTrue();
        assertThat(rule.mayAdmit(NOW_MILLIS, view(NOW_MILLIS, false, 3))).isFalse();
    }

    @Test
    void a_gateway_cut_off_from_log_and_peers_stops_unless_it_is_the_only_member() {
        assertThat(rule.mayAdmit(NOW_MILLIS, view(LONG_AGO_MILLIS, true, 3))).isFalse();
        assertThat(rule.mayAdmit(NOW_MILLIS, view(LONG_AGO_MILLIS, true, 0))).isTrue();
    }

    @Test
    void a_stale_gateway_keeps_admitting_beside_an_equally_stale_peer_even_if_that_one_is_stopping() {
        PeerReport stale = peer(NOW_MILLIS - 200, 5, 50, 90_000, false);
        PeerReport stopping = peer(NOW_MILLIS - 200, 5, 50, 90_000, true);

        assertThat(rule.mayAdmit(NOW_MILLIS, view(LONG_AGO_MILLIS, true, 3, stale)))
                .isTrue();
        assertThat(rule.mayAdmit(NOW_MILLIS, view(LONG_AGO_MILLIS, true, 3, stopping)))
                .isTrue();
    }

    @Test
    void a_stale_gateway_waits_until_it_has_caught_up_with_its_peers() {
        PeerReport fresher = peer(NOW_MILLIS - 200, 5, 51, 100, false);
        PeerReport newer = peer(NOW_MILLIS - 200, 6, 51, 90_000, false);
        PeerReport longerLog = peer(NOW_MILLIS - 200, 5, 51, 90_000, false);

        assertThat(rule.mayAdmit(NOW_MILLIS, view(LONG_AGO_MILLIS, true, 3, fresher)))
                .isFalse();
        assertThat(rule.mayAdmit(NOW_MILLIS, view(LONG_AGO_MILLIS, true, 3, newer)))
                .isFalse();
        assertThat(rule.mayAdmit(NOW_MILLIS, view(LONG_AGO_MILLIS, true, 3, longerLog)))
                .isTrue();
    }

    @Test
    void a_gateway_resumed_after_a_pause_ignores_reports_received_before_it() {
        PeerReport old = peer(NOW_MILLIS - FRESHNESS_MILLIS - 1, 5, 50, 0, false);

        assertThat(rule.mayAdmit(NOW_MILLIS, view(LONG_AGO_MILLIS, true, 3, old)))
                .isFalse();
    }

    @Test
    void a_host_is_gone_only_when_the_platform_stopped_listing_it_and_no_gateway_hears_it() {
        Membership members = Membership.of(List.of(new GatewayMember("g", "host-1", "d", "a:1")));
        GatewayFailureDetector detector = new GatewayFailureDetector.Unlisted(10_000);

        assertThat(detector.decide(NOW_MILLIS, members, List.of(new HostLiveness("host-1", true, 0, 0))))
                .hasSize(1);
        assertThat(detector.decide(NOW_MILLIS, members, List.of(new HostLiveness("host-1", true, NOW_MILLIS, 0))))
                .isEmpty();
        assertThat(detector.decide(NOW_MILLIS, members, List.of(new HostLiveness("host-1", true, 0, NOW_MILLIS))))
                .isEmpty();
        assertThat(detector.decide(NOW_MILLIS, members, List.of(new HostLiveness("host-1", false, 0, 0))))
                .isEmpty();
    }

    private static AdmissionFreshness.View view(long lastLogEnd, boolean member, int others, PeerReport... peers) {
        return new AdmissionFreshness.View(lastLogEnd, FRESHNESS_MILLIS, 5, 50, member, others, List.of(peers));
    }

    private static PeerReport peer(long receivedAt, long version, long offset, long logAge, boolean draining) {
        return new PeerReport("peer", receivedAt, version, offset, logAge, Map.of(), draining);
    }
}
