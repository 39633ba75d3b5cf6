package org.cranberrygauge.proxy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {

    private static final long ENOUGH_MILLIS = 1_000;

    @Test
    void anAtMostOnceRequestIsNeverRetriedOnceItMayHaveRun() {
        for (RouteKind kind : new RouteKind[] {RouteKind.AT_MOST_ONCE, RouteKind.STREAM}) {
            assertThat(after(kind, 3, AttemptOutcome.BROKEN)).isEqualTo(NextStep.REPORT_UNKNOWN);
            assertThat(after(kind, 3, AttemptOutcome.SERVER_ERROR)).isEqualTo(NextStep.PASS_ON);
        }
    }

    @Test
    void aRequestThatHasNotRunMayBeRetriedWhateverItsKind() {
        assertThat(after(RouteKind.AT_MOST_ONCE, 2, AttemptOutcome.NOT_RUN)).isEqualTo(NextStep.TRY_ANOTHER);
        assertThat(after(RouteKind.AT_MOST_ONCE, 1, AttemptOutcome.NOT_RUN)).isEqualTo(NextStep.REFUSE);
        assertThat(after(RouteKind.AT_MOST_ONCE, 1, AttemptOutcome.NOT_CONNECTED))
                .isEqualTo(NextStep.TRY_ANOTHER);
    }

    @Test
    void aRequestGetsPastManyDeadEnginesAfterAThirdOfThemCrashed() {
        AttemptHistory history = AttemptHistory.NONE;
        for (int attempt = 0; attempt < 14; attempt++) {
            history = history.withOutcome(AttemptOutcome.NOT_CONNECTED);
        }
        assertThat(RetryPolicy.next(
                        ProxyFixtures.route(RouteKind.AT_MOST_ONCE, 1),
                        history,
                        AttemptOutcome.NOT_CONNECTED,
                        ENOUGH_MILLIS))
                .isEqualTo(NextStep.TRY_ANOTHER);
    }

    @Test
    void aRequestThatMayHaveRunIsNeverRejectedAsNotRun() {
        AttemptHistory history =
                AttemptHistory.NONE.withOutcome(AttemptOutcome.BROKEN).withOutcome(AttemptOutcome.NOT_RUN);
        assertThat(RetryPolicy.next(
                        ProxyFixtures.route(RouteKind.IDEMPOTENT, 2), history, AttemptOutcome.NOT_RUN, ENOUGH_MILLIS))
                .isEqualTo(NextStep.REPORT_UNKNOWN);
    }

    @Test
    void anIdempotentRequestIsRetriedUpToItsAttempts() {
        assertThat(after(RouteKind.IDEMPOTENT, 2, AttemptOutcome.SERVER_ERROR)).isEqualTo(NextStep.TRY_ANOTHER);
        assertThat(after(RouteKind.IDEMPOTENT, 1, AttemptOutcome.SERVER_ERROR)).isEqualTo(NextStep.PASS_ON);
        assertThat(after(RouteKind.IDEMPOTENT, 1, AttemptOutcome.BROKEN)).isEqualTo(NextStep.REPORT_UNKNOWN);
    }

    @Test
    void aBrokenStreamIsResumedOrCutButNeverRestarted() {
        AttemptHistory streaming = AttemptHistory.NONE.withStart().withOutcome(AttemptOutcome.STREAM_BROKEN);
        assertThat(RetryPolicy.next(
                        ProxyFixtures.route(RouteKind.RESUMABLE_STREAM, 2),
                        streaming,
                        AttemptOutcome.STREAM_BROKEN,
                        ENOUGH_MILLIS))
                .isEqualTo(NextStep.TRY_ANOTHER);
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            if (outcome != AttemptOutcome.NOT_CONNECTED) {
                assertThat(RetryPolicy.next(
                                ProxyFixtures.route(RouteKind.STREAM, 1), streaming, outcome, ENOUGH_MILLIS))
                        .isEqualTo(NextStep.CUT);
            }
        }
    }

    @Test
    void nothingIsRetriedJustBeforeTheDeadline() {
        assertThat(RetryPolicy.next(
                        ProxyFixtures.route(RouteKind.IDEMPOTENT, 3),
                        AttemptHistory.NONE.withOutcome(AttemptOutcome.NOT_RUN),
                        AttemptOutcome.NOT_RUN,
                        10))
                .isEqualTo(NextStep.REFUSE);
    }

    private static NextStep after(RouteKind kind, int attempts, AttemptOutcome outcome) {
        return RetryPolicy.next(
                ProxyFixtures.route(kind, attempts), AttemptHistory.NONE.withOutcome(outcome), outcome, ENOUGH_MILLIS);
    }
}
