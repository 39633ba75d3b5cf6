package org.cranberrygauge.decision.hostload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The pattern of a host out of processor time, whose turns of the event loop take longer than callers wait. */
class LateSendTest {

    private static final long CHOSEN = 1_000;

    private static final long LATE = CHOSEN + LateSend.LATE_MILLIS;

    @Test
    void aRequestWhoseCallerHasLeftIsNotSentAfterALongTurn() {
        assertThat(LateSend.decide(LATE, CHOSEN, () -> false, () -> true)).isEqualTo(LateSend.CALLER_LEFT);
    }

    @Test
    void aRequestIsNotSentToAServerThatHasBegunToLeaveDuringALongTurn() {
        assertThat(LateSend.decide(LATE, CHOSEN, () -> true, () -> false)).isEqualTo(LateSend.NOT_ALLOWED);
    }

    @Test
    void aLateRequestIsSentIfNothingHasChanged() {
        assertThat(LateSend.decide(LATE, CHOSEN, () -> true, () -> true)).isEqualTo(LateSend.SEND);
    }

    @Test
    void nothingIsExaminedOnAHostThatKeepsUp() {
        AtomicInteger examined = new AtomicInteger();
        assertThat(LateSend.decide(LATE - 1, CHOSEN, () -> examined.incrementAndGet() > 1, () -> false))
                .isEqualTo(LateSend.SEND);
        assertThat(examined).hasValue(0);
    }
}
