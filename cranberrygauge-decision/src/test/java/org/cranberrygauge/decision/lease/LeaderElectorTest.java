package org.cranberrygauge.decision.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.model.record.LogRecord.LeaseClaim;
import org.cranberrygauge.model.record.LogRecord.LeaseRelease;
import org.junit.jupiter.api.Test;

class LeaderElectorTest {

    private static final long LEASE_MILLIS = 6_000;

    private final LeaderElector elector = new LeaderElector("a", "host-a", 0);

    @Test
    void a_claim_that_is_sent_again_counts_from_the_first_sending() {
        LeaseClaim first = elector.decide(0, LEASE_MILLIS).orElseThrow();
        assertThat(elector.decide(5_999, LEASE_MILLIS)).isEmpty();
        assertThat(elector.decide(6_000, LEASE_MILLIS)).contains(first);

        elector.observe(6_100, LeaseState.initial().apply(1, first));

        assertThat(elector.holds(6_100)).isFalse();
    }

    @Test
    void a_claim_that_is_read_back_after_its_lease_is_over_is_renewed_at_once_and_not_held_before() {
        LeaseClaim claim = elector.decide(0, LEASE_MILLIS).orElseThrow();
        LeaseState late = LeaseState.initial().apply(1, claim);
        elector.observe(10_000, late);
        assertThat(elector.holds(10_000)).isFalse();

        LeaseClaim renewal = elector.decide(10_000, LEASE_MILLIS).orElseThrow();
        LeaseState renewed = late.apply(2, renewal);
        elector.observe(10_050, renewed);

        assertThat(elector.holds(15_999)).isTrue();
        assertThat(elector.holds(16_000)).isFalse();
        assertThat(renewed.fencingNumber()).isEqualTo(1);
    }

    @Test
    void a_renewal_for_a_shorter_lease_shortens_the_lease_before_it_is_read_back() {
        elector.observe(
                10,
                LeaseState.initial().apply(1, elector.decide(0, LEASE_MILLIS).orElseThrow()));
        assertThat(elector.decide(2_100, 1_000)).isPresent();

        assertThat(elector.holds(3_099)).isTrue();
        assertThat(elector.holds(3_100)).isFalse();
    }

    @Test
    void a_claimant_waits_the_lease_that_the_last_claim_states_and_a_margin() {
        elector.observe(1_000, LeaseState.initial().apply(7, new LeaseClaim("b", "host-b", 0, 2_000)));

        assertThat(elector.decide(3_200, LEASE_MILLIS)).isEmpty();
        assertThat(elector.decide(3_201, LEASE_MILLIS)).isPresent();
    }

    @Test
    void a_process_that_resigned_neither_holds_nor_claims_again() {
        LeaseState held =
                LeaseState.initial().apply(1, elector.decide(0, LEASE_MILLIS).orElseThrow());
        elector.observe(10, held);
        LeaseClaim renewal = elector.decide(2_100, LEASE_MILLIS).orElseThrow();
        LeaseRelease release = elector.resign(2_110).orElseThrow();
        assertThat(elector.holds(2_110)).isFalse();

        elector.observe(2_120, held.apply(release).apply(3, renewal));

        assertThat(elector.holds(2_120)).isFalse();
        assertThat(elector.decide(20_000, LEASE_MILLIS)).isEmpty();
    }

    @Test
    void a_lost_race_is_not_mistaken_for_an_own_claim() {
        LeaseClaim claim = elector.decide(0, LEASE_MILLIS).orElseThrow();
        LeaseState others = LeaseState.initial().apply(1, new LeaseClaim("b", "host-b", 0, LEASE_MILLIS));

        elector.observe(50, others.apply(2, claim));

        assertThat(elector.holds(50)).isFalse();
        assertThat(elector.decide(60, LEASE_MILLIS)).isEmpty();
    }
}
