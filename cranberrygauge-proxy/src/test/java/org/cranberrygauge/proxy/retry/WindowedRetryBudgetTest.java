package org.cranberrygauge.proxy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {

    private static final long WINDOW_MILLIS = 10_000;

    private static final double RATIO = 0.2;

    private static final double ALLOWANCE = 54;

    private static final int HOSTS = 4;

    private static final BudgetShare SHARE = new BudgetShare(HOSTS, false);

    private static final BudgetShare ALONE = new BudgetShare(1, false);

    private final Random random = new Random(11);

    private final List<Long> requests = new ArrayList<>();

    private final List<Long> retries = new ArrayList<>();

    @Test
    void allHostsTogetherStayWithinTheBoundInEverySlidingWindow() {
        play(fleet(0), 100_000, 160_000, 20, 1);
        assertThat(retries).isNotEmpty();
        for (long start = 100_000; start < 150_000; start += 100) {
            assertThat((double) within(retries, start))
                    .isLessThanOrEqualTo(RATIO * within(requests, start) + ALLOWANCE);
        }
    }

    /** Guards against repeats beyond the budget that new processes cause, which don't know what earlier ones spent. */
    @Test
    void allHostsTogetherStayWithinTheBoundThoughTheyRestart() {
        int spent = 0;
        for (long lifeMillis : new long[] {1_000, 3_000, 7_000, 12_000, 25_000}) {
            requests.clear();
            retries.clear();
            for (long start = 100_000; start < 160_000; start += lifeMillis) {
                play(fleet(start), start, Math.min(160_000, start + lifeMillis), 20, 1);
            }
            assertWithinTheBudgetOfTheFullestWindow("restarts after " + lifeMillis + " ms");
            spent += retries.size();
        }
        assertThat(spent).isPositive();
    }

    /** Guards against the same where retries were saved up before a restart. */
    @Test
    void retriesThatAreSpentAtOnceBeforeARestartLeaveNothingTooMuchForAfterIt() {
        for (long restart = 101_000; restart < 140_000; restart += 1_700) {
            requests.clear();
            retries.clear();
            List<WindowedRetryBudget> first = fleet(100_000);
            play(first, 100_000, restart - 500, 20, 0);
            play(first, restart - 500, restart, 20, 5);
            play(fleet(restart), restart, 160_000, 20, 1);
            assertThat(retries).isNotEmpty();
            assertWithinTheBudgetOfTheFullestWindow("restart at " + restart);
        }
    }

    /** Guards against hosts that take themselves for the only one while they don't know how many there are. */
    @Test
    void aHostThatDoesNotKnowHowManyShareTheBudgetEarnsNoPartOfTheAllowance() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0, WINDOW_MILLIS, RATIO, ALLOWANCE);
        for (long now = 0; now < 60_000; now += 500) {
            assertThat(budget.tryAcquire(now, BudgetShare.UNKNOWN)).isFalse();
        }
        assertThat(budget.tryAcquire(70_000, ALONE)).isTrue();
    }

    @Test
    void allowsNothingWithoutRequestsAndAllowance() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0, WINDOW_MILLIS, RATIO, 0);
        assertThat(budget.tryAcquire(1_000, ALONE)).isFalse();
    }

    @Test
    void aNewProcessSpendsATenthUntilItIsOlderThanAWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(50_000, WINDOW_MILLIS, 0, ALLOWANCE);
        assertThat(budget.tryAcquire(50_000, ALONE)).isFalse();
        int spent = 0;
        for (long now = 50_000; now < 61_000; now += 50) {
            spent += budget.tryAcquire(now, ALONE) ? 1 : 0;
        }
        assertThat(spent).isEqualTo(5);
        assertThat(budget.tryAcquire(61_000, ALONE)).isTrue();
    }

    /** Guards against requests that fail at a host that never ran before, though nothing was spent there. */
    @Test
    void theFirstProcessOfAHostSpendsItsWholePart() {
        WindowedRetryBudget budget = new WindowedRetryBudget(50_000, WINDOW_MILLIS, 0, 5);
        int spent = 0;
        while (budget.tryAcquire(50_000, new BudgetShare(1, true))) {
            spent++;
        }
        assertThat(spent).isEqualTo(4);
    }

    @Test
    void retriesExpireAfterTheWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0, WINDOW_MILLIS, 0, 5);
        int first = 0;
        while (budget.tryAcquire(50_000, ALONE)) {
            first++;
        }
        assertThat(first).isEqualTo(4);
        assertThat(budget.tryAcquire(59_999, ALONE)).isFalse();
        assertThat(budget.tryAcquire(61_000, ALONE)).isTrue();
    }

    private static List<WindowedRetryBudget> fleet(long startMillis) {
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            budgets.add(new WindowedRetryBudget(startMillis, WINDOW_MILLIS, RATIO, ALLOWANCE));
        }
        return budgets;
    }

    /**
     * Plays requests and retries at random hosts.
     *
     * @param stepsPerRequest The number of steps of 5 ms for each request, on average.
     * @param retriesPerStep The retries that are wanted in each step.
     */
    private void play(
            List<WindowedRetryBudget> budgets,
            long fromMillis,
            long toMillis,
            int stepsPerRequest,
            int retriesPerStep) {
        for (long now = fromMillis; now < toMillis; now += 5) {
            if (random.nextInt(stepsPerRequest) == 0) {
                budgets.get(random.nextInt(HOSTS)).recordRequest(now);
                requests.add(now);
            }
            for (int wanted = 0; wanted < retriesPerStep; wanted++) {
                if (budgets.get(random.nextInt(HOSTS)).tryAcquire(now, SHARE)) {
                    retries.add(now);
                }
            }
        }
    }

    /** Compares each window with the requests in it, in the one before or in the one half a window before, as users count. */
    private void assertWithinTheBudgetOfTheFullestWindow(String play) {
        for (long start = 100_000; start < 150_000; start += 100) {
            long counted = Math.max(
                    within(requests, start),
                    Math.max(within(requests, start - WINDOW_MILLIS), within(requests, start - WINDOW_MILLIS / 2)));
            assertThat((double) within(retries, start))
                    .as("%s, window from %d", play, start)
                    .isLessThanOrEqualTo(RATIO * counted + ALLOWANCE);
        }
    }

    private static long within(List<Long> times, long start) {
        return times.stream()
                .filter(time -> time >= start && time < start + WINDOW_MILLIS)
                .count();
    }
}
