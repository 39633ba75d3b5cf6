package org.cranberrygauge.decision.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    private final ConcurrencyLimit limit = new ConcurrencyLimit(6);

    private long now = 1_000;

    @Test
    void startsAtTheSlotsAndGrowsOnlyWhileItIsUsed() {
        respond(100, 2, 40);
        assertThat(limit.limit()).isEqualTo(6);
        respond(100, 6, 40);
        assertThat(limit.limit()).isGreaterThan(6).isLessThanOrEqualTo(24);
    }

    /** Guards against a queue that grows at a server that has become slow. */
    @Test
    void shrinksWhileResponseTimesAreHighButNotBelowOne() {
        respond(10, 6, 120);
        assertThat(limit.limit()).isLessThanOrEqualTo(6);
        respond(300, 6, 120);
        assertThat(limit.limit()).isEqualTo(1);
        for (int response = 0; response < 100; response++) {
            respond(1, limit.limit(), 40);
        }
        assertThat(limit.limit()).isGreaterThan(6);
    }

    /** Guards against requests that are sent to a server that rejects them. */
    @Test
    void aRejectionShrinksItAndMakesTheServerFullForAWhile() {
        limit.recordRejection(now, 30);
        assertThat(limit.limit()).isEqualTo(4);
        assertThat(limit.isFull(now + 500, 30)).isTrue();
        assertThat(limit.isFull(now + 500, 29)).isFalse();
        assertThat(limit.isFull(now + 1_000, 30)).isFalse();
    }

    private void respond(int responses, int outstanding, double millis) {
        for (int response = 0; response < responses; response++) {
            limit.recordResponse(now, outstanding, millis, 40);
            now += 10;
        }
    }
}
