package org.cranberrygauge.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against rejected callers that return together and find no room again. */
class ReturnScheduleTest {

    /** The constant of the rejections without a prediction. */
    private static final long CONSTANT_MILLIS = 800;

    private static final long DEADLINE_MILLIS = 10_000;

    private static final long MAXIMUM_WAIT_MILLIS = 1_000;

    private final DrainForecast forecast = new DrainForecast();

    private final ReturnSchedule schedule = new ReturnSchedule(forecast, new SplittableRandom(5));

    @Test
    void rejected_callers_of_a_burst_return_when_there_is_room() {
        Outcome scheduled = burst(true, Long.MAX_VALUE);
        Outcome constant = new ReturnScheduleTest().burst(false, Long.MAX_VALUE);
        assertThat(scheduled.rejectedTwice()).isLessThan(constant.rejectedTwice() / 4);
        assertThat(scheduled.longestQueue()).isLessThan(constant.longestQueue());
    }

    @Test
    void a_host_that_loses_its_promises_in_the_burst_still_does_better_than_with_the_constant() {
        Outcome restarted = burst(true, 2_300);
        Outcome constant = new ReturnScheduleTest().burst(false, Long.MAX_VALUE);
        assertThat(restarted.rejectedTwice()).isLessThan(constant.rejectedTwice());
    }

    @Test
    void nothing_is_assigned_without_recent_observations() {
        assertThat(schedule.assign(0, 10, 10, 1, DEADLINE_MILLIS)).isEmpty();
        startsEvery10Millis(0, 1_000);
        assertThat(schedule.assign(1_000, 10, 10, 1, DEADLINE_MILLIS)).isPresent();
        assertThat(schedule.assign(12_000, 10, 10, 1, DEADLINE_MILLIS)).isEmpty();
    }

    @Test
    void a_return_time_is_at_most_a_third_of_the_remaining_time_and_at_least_the_minimum() {
        startsEvery10Millis(0, 1_000);
        assertThat(schedule.assign(1_000, 10_000, 10_000, 1, 3_000).orElseThrow())
                .isBetween(800L, 1_000L);
        assertThat(schedule.assign(1_000, 10_000, 10_000, 1, 60).orElseThrow()).isEqualTo(50);
        assertThat(schedule.assign(2_100, 0, 0, 1, 3_000).orElseThrow()).isEqualTo(50);
    }

    @Test
    void a_promise_delays_the_next_caller_until_it_is_due() {
        startsEvery10Millis(0, 1_000);
        long first = schedule.assign(1_000, 50, 50, 1, DEADLINE_MILLIS).orElseThrow();
        for (int caller = 0; caller < 50; caller++) {
            schedule.assign(1_000, 50, 50, 1, DEADLINE_MILLIS);
        }
        assertThat(first).isBetween(450L, 700L);
        assertThat(schedule.assign(1_000, 50, 50, 1, DEADLINE_MILLIS).orElseThrow())
                .isBetween(900L, 1_400L);
        assertThat(schedule.promised(5_000)).isZero();
    }

    @Test
    void the_wait_follows_the_cost_where_the_requests_ahead_cost_more_than_usual() {
        startsEvery10Millis(0, 1_000);
        long byNumber = forecast.waitMillis(1_000, 10, 10).orElseThrow();
        assertThat(forecast.waitMillis(1_000, 10, 100).orElseThrow()).isBetween(9 * byNumber, 11 * byNumber);
    }

    private void startsEvery10Millis(long fromMillis, long toMillis) {
        forecast.observe(fromMillis, true);
        for (long now = fromMillis + 10; now <= toMillis; now += 10) {
            forecast.recordStart(now, 1);
        }
    }

    /**
     * Simulates a pool that starts a request every 10 ms, at 0.5 times its capacity with a burst of 2.7 times from 1 s to
     * 2.5 s. A request is rejected after {@link #MAXIMUM_WAIT_MILLIS} in the queue; its caller returns once.
     *
     * @param restartMillis The time at which the host restarts and forgets what it observed and promised.
     */
    private Outcome burst(boolean scheduled, long restartMillis) {
        DrainForecast observed = forecast;
        ReturnSchedule returns = schedule;
        Deque<Long> queue = new ArrayDeque<>();
        Deque<Boolean> returning = new ArrayDeque<>();
        PriorityQueue<Long> due = new PriorityQueue<>();
        int longestQueue = 0;
        int rejectedTwice = 0;
        double arriving = 0;
        for (long now = 0; now < 15_000; now++) {
            if (now == restartMillis) {
                observed = new DrainForecast();
                returns = new ReturnSchedule(observed, new SplittableRandom(6));
            }
            for (arriving += (now >= 1_000 && now < 2_500 ? 2.7 : 0.5) / 10; arriving >= 1; arriving--) {
                queue.add(now);
                returning.add(false);
            }
            while (!due.isEmpty() && due.peek() <= now) {
                due.remove();
                queue.add(now);
                returning.add(true);
            }
            while (!queue.isEmpty() && now - queue.peek() >= MAXIMUM_WAIT_MILLIS) {
                queue.remove();
                if (returning.remove()) {
                    rejectedTwice++;
                    continue;
                }
                OptionalLong assigned =
                        returns.assign(now, queue.size(), queue.size(), 1, DEADLINE_MILLIS - MAXIMUM_WAIT_MILLIS);
                due.add(now + (scheduled ? assigned.orElse(CONSTANT_MILLIS) : CONSTANT_MILLIS));
            }
            longestQueue = now < 3_500 ? 0 : Math.max(longestQueue, queue.size());
            observed.observe(now, !queue.isEmpty());
            if (now % 10 == 0 && !queue.isEmpty()) {
                observed.recordStart(now, 1);
                queue.remove();
                returning.remove();
            }
        }
        return new Outcome(rejectedTwice, longestQueue);
    }

    /** @param longestQueue The largest number of requests that waited from 1 s after the burst on. */
    private record Outcome(int rejectedTwice, int longestQueue) {}
}
