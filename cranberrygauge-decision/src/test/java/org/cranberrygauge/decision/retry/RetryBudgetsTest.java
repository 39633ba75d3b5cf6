package org.cranberrygauge.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetsTest {

    @Test
    void theFailuresOfOneCustomerLeaveTheRetriesOfAnother() {
        RetryBudgets budgets = new RetryBudgets.PerCustomer(() -> new RetryBudget.Share(0.5, 2));

        assertThat(drain(budgets.of("alpha", "chat"))).isEqualTo(2);
        assertThat(budgets.of("beta", "chat").tryRetry()).isTrue();
        assertThat(budgets.of("alpha", "study").tryRetry()).isTrue();
    }

    @Test
    void oneBudgetForAllIsUsedUpByOneCustomer() {
        RetryBudgets budgets = new RetryBudgets.Shared(new RetryBudget.Share(0.5, 2));

        assertThat(drain(budgets.of("alpha", "chat"))).isEqualTo(2);
        assertThat(budgets.of("beta", "chat").tryRetry()).isFalse();
    }

    @Test
    void successesEarnRetries() {
        RetryBudget budget = new RetryBudget.Share(0.5, 2);
        drain(budget);

        budget.succeeded();
        assertThat(budget.tryRetry()).isFalse();
        budget.succeeded();
        assertThat(budget.tryRetry()).isTrue();
        assertThat(RetryBudget.Disabled.INSTANCE.tryRetry()).isFalse();
    }

    private static int drain(RetryBudget budget) {
        int taken = 0;
        while (budget.tryRetry()) {
            taken++;
        }
        return taken;
    }
}
