package org.cranberrygauge.decision.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OrderRateLimiterTest {

    private static final String POOL = "dk-east-b/amber-large/cheap";

    private final OrderRateLimiter limiter = new OrderRateLimiter(3);

    @Test
    void two_orders_of_a_pool_are_a_second_apart() {
        limiter.ordered(0, POOL);
        assertThat(limiter.mayOrder(999, POOL)).isFalse();
        assertThat(limiter.mayOrder(1_000, POOL)).isTrue();
    }

    @Test
    void all_pools_together_get_a_bounded_number_of_orders_per_minute() {
        limiter.ordered(0, "a");
        limiter.ordered(0, "b");
        limiter.ordered(0, "c");
        assertThat(limiter.mayOrder(59_999, "d")).isFalse();
        assertThat(limiter.mayOrder(60_000, "d")).isTrue();
    }

    @Test
    void a_pool_without_supply_gets_a_back_off_that_doubles_up_to_five_minutes() {
        long nowMillis = 0;
        long[] expected = {5_000, 10_000, 20_000, 40_000, 80_000, 160_000, 300_000, 300_000};
        for (long length : expected) {
            limiter.ended(nowMillis, POOL, OrderRateLimiter.UNAVAILABLE);
            assertThat(limiter.unavailable(nowMillis + length - 1)).containsExactly(POOL);
            assertThat(limiter.unavailable(nowMillis + length)).isEmpty();
            nowMillis += length;
        }
    }

    @Test
    void a_pool_that_has_supply_again_starts_from_the_first_back_off() {
        limiter.ended(0, POOL, OrderRateLimiter.UNAVAILABLE);
        limiter.ended(0, POOL, OrderRateLimiter.UNAVAILABLE);
        limiter.ended(0, POOL, "done");
        assertThat(limiter.unavailable(0)).isEmpty();
        limiter.ended(0, POOL, OrderRateLimiter.UNAVAILABLE);
        assertThat(limiter.unavailable(5_000)).isEmpty();
    }
}
