package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class RetentionDecisionTest {

    private static final OptionalLong NONE = OptionalLong.empty();

    @Test
    void nothingIsRetainedInNormalOperation() {
        assertThat(RetentionDecision.decide(1_500, NONE, NONE)).isEqualTo(RetentionDecision.REGISTRATION_OVER);
    }

    @Test
    void serversAreRetainedForTheRegistrationTimeAfterAnOutage() {
        OptionalLong outageEnd = OptionalLong.of(6_000);
        assertThat(RetentionDecision.decide(8_199, outageEnd, NONE)).isEqualTo(RetentionDecision.RETAIN);
        assertThat(RetentionDecision.decide(8_200, outageEnd, NONE)).isEqualTo(RetentionDecision.REGISTRATION_OVER);
    }

    @Test
    void theTimeCountsFromTheHostThatReadTheLogFirst() {
        OptionalLong outageEnd = OptionalLong.of(6_000);
        OptionalLong elsewhere = OptionalLong.of(5_200);
        assertThat(RetentionDecision.decide(7_399, outageEnd, elsewhere)).isEqualTo(RetentionDecision.RETAIN);
        assertThat(RetentionDecision.decide(7_400, outageEnd, elsewhere)).isEqualTo(RetentionDecision.HOST_WAS_ALONE);
    }

    @Test
    void aHostThatReadTheLogLaterDoesNotProlongTheTime() {
        OptionalLong outageEnd = OptionalLong.of(6_000);
        OptionalLong elsewhere = OptionalLong.of(7_000);
        assertThat(RetentionDecision.decide(8_200, outageEnd, elsewhere))
                .isEqualTo(RetentionDecision.REGISTRATION_OVER);
    }

    /** Guards against removed servers that a host keeps for the time of an outage that it alone had. */
    @Test
    void aHostThatWasAwayAloneRetainsNothingOnceItHasHeardAnother() {
        assertThat(RetentionDecision.decide(6_050, OptionalLong.of(6_000), OptionalLong.of(-50_000)))
                .isEqualTo(RetentionDecision.HOST_WAS_ALONE);
    }
}
