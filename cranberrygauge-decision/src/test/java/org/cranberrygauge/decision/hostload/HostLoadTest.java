package org.cranberrygauge.decision.hostload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.cranberrygauge.decision.hostload.HostLoad.State;
import org.junit.jupiter.api.Test;

/** Guards against requests that a host sheds without being overloaded, or where no other host is a better choice. */
class HostLoadTest {

    private static final long TARGET_MILLIS = 240;

    private final HostLoad load = new HostLoad(0, new SplittableRandom(1));

    private long now = HostLoad.START_MILLIS;

    HostLoadTest() {
        load.setLowestTarget(TARGET_MILLIS);
    }

    @Test
    void a_host_that_has_just_started_is_not_overloaded_and_reports_nothing() {
        for (now = 0; now < HostLoad.START_MILLIS; now += 250) {
            load.record(now, 200);
        }
        assertThat(load.delayMillis()).isEmpty();
        assertThat(load.state()).isEqualTo(State.NORMAL);
    }

    @Test
    void the_single_late_sample_of_a_freeze_changes_nothing() {
        samples(40, 0);
        now += 8_000;
        load.record(now, 8_000);
        samples(40, 0);
        assertThat(load.delayMillis()).hasValue(0);
        assertThat(load.state()).isEqualTo(State.NORMAL);
    }

    @Test
    void the_backlog_of_a_freeze_does_not_count_as_overload() {
        samples(40, 0);
        now += 8_000;
        load.record(now, 8_000);
        for (int delay = 600; delay > 0; delay -= 200) {
            samples(1, delay);
        }
        for (int tick = 0; tick < 40; tick++) {
            samples(1, 0);
            assertThat(load.state()).isNotEqualTo(State.OVERLOADED);
        }
    }

    @Test
    void a_delay_counts_as_overload_only_once_it_has_lasted() {
        samples(40, 0);
        samples(3, 200);
        assertThat(load.state()).isNotEqualTo(State.OVERLOADED);
        samples(20, 200);
        assertThat(load.state()).isEqualTo(State.OVERLOADED);
    }

    @Test
    void an_overloaded_host_recovers_after_some_time_at_a_lower_delay_than_that_at_which_it_became_overloaded() {
        samples(40, 100);
        samples(60, 50);
        assertThat(load.state()).isEqualTo(State.OVERLOADED);
        samples(60, 30);
        assertThat(load.state()).isEqualTo(State.OVERLOADED);
        assertThat(load.share(now, TARGET_MILLIS, others(10, 10))).isZero();
        samples(60, 30);
        assertThat(load.state()).isEqualTo(State.BUSY);
        samples(80, 50);
        assertThat(load.state()).isEqualTo(State.BUSY);
        samples(80, 0);
        assertThat(load.state()).isEqualTo(State.NORMAL);
    }

    @Test
    void at_most_three_quarters_of_the_requests_are_shed_and_those_with_a_long_target_latency_are_not() {
        samples(80, 1_000);
        OtherHosts others = others(10, 10, 10);
        int shed = 0;
        for (int request = 0; request < 10_000; request++) {
            shed += load.mustShed(now, TARGET_MILLIS, others) ? 1 : 0;
        }
        assertThat(shed).isBetween(5_400, 5_800);
        assertThat(load.share(now, 8_000, others)).isZero();
        assertThat(load.share(now, 0, others)).isZero();
    }

    @Test
    void nothing_is_shed_where_no_other_host_is_heard_or_known_to_be_a_better_choice() {
        samples(80, 100);
        assertThat(load.share(now, TARGET_MILLIS, others(10, 10))).isPositive();
        assertThat(load.share(now, TARGET_MILLIS, OtherHosts.NONE)).isZero();
        assertThat(load.share(now, TARGET_MILLIS, new OtherHosts(now, 3, List.of())))
                .isZero();
        assertThat(load.share(now, TARGET_MILLIS, new OtherHosts(now, 1, List.of(10))))
                .isZero();
        assertThat(load.share(now, TARGET_MILLIS, new OtherHosts(now - 1_500, 0, List.of(10, 10))))
                .isZero();
    }

    @Test
    void nothing_is_shed_once_more_than_half_of_the_hosts_are_overloaded() {
        samples(80, 100);
        assertThat(load.share(now, TARGET_MILLIS, others(10, 10, 100))).isPositive();
        assertThat(load.share(now, TARGET_MILLIS, others(10, 100, 100))).isZero();
    }

    private OtherHosts others(Integer... delaysMillis) {
        return new OtherHosts(now, 0, List.of(delaysMillis));
    }

    /** Records samples as the timer of a host takes them: the next one is due 50 ms after the last one fired. */
    private void samples(int count, long delayMillis) {
        for (int sample = 0; sample < count; sample++) {
            now += 50 + delayMillis;
            load.record(now, delayMillis);
        }
    }
}
