package org.cranberrygauge.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cranberrygauge.model.record.LogRecord.GatewayJoined;
import org.junit.jupiter.api.Test;

class HostLivenessTrackerTest {

    private static final GatewayFailureDetector DETECTOR = new GatewayFailureDetector.Unlisted(10_000);

    private final HostLivenessTracker tracker = new HostLivenessTracker();
    private final Membership members = Membership.initial()
            .apply(new GatewayJoined("host-1/1", "host-1", "a", "127.0.0.1:1"))
            .apply(new GatewayJoined("host-2/1", "host-2", "a", "127.0.0.1:2"));

    @Test
    void a_host_that_is_not_listed_and_sent_no_report_for_the_time_is_gone() {
        read(0, 1_000, List.of("host-1", "host-2"));
        read(1_000, 12_500, List.of("host-1"));

        assertThat(DETECTOR.decide(12_500, members, tracker.of(12_500, members)))
                .extracting("gateway")
                .containsExactly("host-2/1");
        assertThat(GatewayFailureDetector.Disabled.INSTANCE.decide(12_500, members, tracker.of(12_500, members)))
                .isEmpty();
    }

    @Test
    void a_host_from_which_a_report_was_received_is_not_gone() {
        read(0, 1_000, List.of("host-1", "host-2"));
        read(1_000, 12_500, List.of("host-1"));
        tracker.recordReport(12_000, "host-2");

        assertThat(DETECTOR.decide(12_500, members, tracker.of(12_500, members)))
                .isEmpty();
    }

    @Test
    void an_outage_of_the_platform_does_not_make_a_host_gone() {
        read(0, 1_000, List.of("host-1", "host-2"));
        tracker.listed(60_000, List.of("host-1"));

        assertThat(DETECTOR.decide(60_000, members, tracker.of(60_000, members)))
                .isEmpty();
    }

    @Test
    void a_host_that_the_platform_never_listed_is_not_gone() {
        read(0, 60_000, List.of());

        assertThat(DETECTOR.decide(60_000, members, tracker.of(60_000, members)))
                .isEmpty();
    }

    private void read(long fromMillis, long toMillis, List<String> hosts) {
        for (long nowMillis = fromMillis; nowMillis <= toMillis; nowMillis += 500) {
            tracker.listed(nowMillis, hosts);
            tracker.of(nowMillis, members);
        }
    }
}
