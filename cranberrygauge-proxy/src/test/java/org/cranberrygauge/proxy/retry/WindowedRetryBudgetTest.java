package org.cranberrygauge.proxy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {

    private static final long WINDOW_MILLIS = 10_000;

    @Test
    void allHostsTogetherStayWithinTheBoundInEverySlidingWindow() {
        int hosts = 4;
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            budgets.add(new WindowedRetryBudget(WINDOW_MILLIS, 0.2, 54));
        }
        Random random = new Random(11);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long now = 100_000; now < 160_000; now += 5) {
            WindowedRetryBudget budget = budgets.get(random.nextInt(hosts));
            if (random.nextInt(20) == 0) {
                budget.recordRequest(now);
                requests.add(now);
            }
            if (budget.tryAcquire(now, hosts)) {
                retries.add(now);
            }
        }
        assertThat(retries).isNotEmpty();
        for (long start = 100_000; start < 150_000; start += 100) {
            assertThat((double) within(retries, start)).isLessThanOrEqualTo(0.2 * within(requests, start) + 54);
        }
    }

    @Test
    void allowsNothingWithoutRequestsAndAllowance() {
        WindowedRetryBudget budget = new WindowedRetryBudget(WINDOW_MILLIS, 0.2, 0);
        assertThat(budget.tryAcquire(1_000, 1)).isFalse();
    }

    @Test
    void retriesExpireAfterTheWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(WINDOW_MILLIS, 0, 5);
        int first = 0;
        while (budget.tryAcquire(50_000, 1)) {
            first++;
        }
        assertThat(first).isEqualTo(4);
        assertThat(budget.tryAcquire(59_999, 1)).isFalse();
        assertThat(budget.tryAcquire(61_000, 1)).isTrue();
    }

    private static long within(List<Long> times, long start) {
        return times.stream()
                .filter(time -> time >= start && time < start + WINDOW_MILLIS)
                .count();
    }
}
