package org.cranberrygauge.proxy.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogAvailabilityTest {

    private final LogAvailability availability = new LogAvailability(2_400);

    @Test
    void aLogThatHasNotAnsweredYetIsNotAvailable() {
        assertThat(availability.availableMillis(1_000)).isEmpty();
    }

    @Test
    void theFirstAnswerEndsNoOutage() {
        assertThat(availability.recordAnswer(5_000, 5_000)).isEmpty();
        assertThat(availability.outageEndMillis()).isEmpty();
        assertThat(availability.availableMillis(5_300)).hasValue(300);
    }

    @Test
    void aTimeWithoutAnAnswerIsAnOutageOnceEntriesMayHaveExpired() {
        availability.recordAnswer(1_000, 1_000);
        assertThat(availability.recordAnswer(3_399, 3_399)).isEmpty();
        assertThat(availability.outageEndMillis()).isEmpty();
        assertThat(availability.recordAnswer(5_799, 5_799)).hasValue(2_400);
        assertThat(availability.outageEndMillis()).hasValue(5_799);
        assertThat(availability.availableMillis(5_900)).hasValue(101);
    }

    @Test
    void anAnswerThatAnotherHostReadCountsFromWhenTheLogGaveIt() {
        availability.recordAnswer(1_000, 1_000);
        assertThat(availability.recordAnswer(3_000, 1_500)).isEmpty();
        assertThat(availability.availableMillis(3_899)).hasValue(2_899);
        assertThat(availability.recordAnswer(4_000, 3_900)).hasValue(2_400);
    }

    @Test
    void anOlderAnswerThatArrivesLaterChangesNothing() {
        availability.recordAnswer(1_000, 1_000);
        availability.recordAnswer(2_000, 2_000);
        assertThat(availability.recordAnswer(2_100, 500)).isEmpty();
        assertThat(availability.recordAnswer(4_300, 4_300)).isEmpty();
    }

    @Test
    void theLogIsNotAvailableWhileItMayBeAway() {
        availability.recordAnswer(1_000, 1_000);
        assertThat(availability.availableMillis(3_399)).hasValue(2_399);
        assertThat(availability.availableMillis(3_400)).isEmpty();
    }

    @Test
    void aLogThatComesBackFromAnOlderCopyIsAvailableSinceThen() {
        availability.recordAnswer(1_000, 1_000);
        availability.recordRollback(2_000);
        assertThat(availability.outageEndMillis()).hasValue(2_000);
        assertThat(availability.availableMillis(2_200)).hasValue(200);
    }
}
