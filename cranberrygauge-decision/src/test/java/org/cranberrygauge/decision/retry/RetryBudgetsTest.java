package org.cranberrygauge.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetsTest {

    @Test
    void the_failures_of_one_customer_do_not_use_up_the_retries_of_another() {
        RetryBudgets budgets = new RetryBudgets.PerCustomer(() -> new RetryBudget.Share(0.5, 2));

        assertThat(drain(budgets.of("alpha", "chat"))).isEqualTo(2);
        assertThat(budgets.of("beta", "chat").tryRetry()).isTrue();
        assertThat(budgets.of("alpha", "study").tryRetry()).isTrue();
    }

    @Test
    void a_shared_budget_can_be_used_up_by_one_customer() {
        RetryBudgets budgets = new RetryBudgets.Shared(new RetryBudget.Share(0.5, 2));

        assertThat(drain(budgets.of("alpha", "chat"))).isEqualTo(2);
        assertThat(budgets.of("beta", "chat").tryRetry()).isFalse();
    }

    @Test
    void successes_add_retries_to_the_budget() {
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
