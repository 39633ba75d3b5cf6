package org.cranberrygauge.proxy.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConfirmationTest {

    private final Confirmation read = new Confirmation(1_000, 50_000);

    @Test
    void agesByTheMonotonicClock() {
        assertThat(read.ageMillis(1_700, 50_700)).hasValue(700);
        assertThat(read.ageMillis(1_700, 40_000)).hasValue(700);
    }

    @Test
    void hasNoKnownAgeAfterTheHostWasSuspended() {
        assertThat(read.ageMillis(1_700, 51_000)).isEmpty();
    }

    @Test
    void includesTheAgeThatAnotherHostReported() {
        assertThat(read.before(400).ageMillis(1_000, 50_000)).hasValue(400);
    }

    @Test
    void ofTwoConfirmationsTheLaterOneIsReturned() {
        assertThat(read.later(read.before(400))).isEqualTo(read);
        assertThat(read.before(400).later(read)).isEqualTo(read);
        assertThat(Confirmation.NONE.later(read)).isEqualTo(read);
    }
}
