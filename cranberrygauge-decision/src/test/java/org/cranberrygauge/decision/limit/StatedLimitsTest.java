package org.cranberrygauge.decision.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import java.util.Set;
import org.cranberrygauge.decision.limit.RateStatement.Standard;
import org.cranberrygauge.decision.limit.StatedLimits.Statement;
import org.junit.jupiter.api.Test;

class StatedLimitsTest {

    private final StatedLimits limits = new StatedLimits();

    @Test
    void aLimitHoldsUntilAResponseStatesAnotherOrNone() {
        assertThat(limits.observe(100, "a/1", RateStatement.limited(2))).contains(statement(2, 100));
        assertThat(limits.observe(200, "a/1", RateStatement.limited(2))).isEmpty();
        assertThat(limits.limit("a/1")).hasValue(2);
        assertThat(limits.observe(300, "a/1", Standard.UNLIMITED)).contains(new Statement(OptionalDouble.empty(), 300));
        assertThat(limits.limit("a/1")).isEmpty();
    }

    @Test
    void anUnreadableStatementChangesNothing() {
        limits.observe(100, "a/1", RateStatement.limited(2));
        assertThat(limits.observe(200, "a/1", Standard.UNREADABLE)).isEmpty();
        assertThat(limits.limit("a/1")).hasValue(2);
    }

    @Test
    void anotherIncarnationOfAServerIsNotLimited() {
        limits.observe(100, "a/1", RateStatement.limited(2));
        assertThat(limits.limit("a/2")).isEmpty();
    }

    @Test
    void ofTwoStatementsTheLaterOneHolds() {
        limits.observe(200, "a/1", RateStatement.limited(2));
        assertThat(limits.merge("a/1", statement(5, 100))).isEmpty();
        assertThat(limits.limit("a/1")).hasValue(2);
        assertThat(limits.merge("a/1", statement(1, 300))).contains(statement(1, 300));
        assertThat(limits.limit("a/1")).hasValue(1);
    }

    @Test
    void theEndOfALimitReplacesOlderStatementsOfOtherHostsForATime() {
        limits.observe(100, "a/1", RateStatement.limited(2));
        limits.observe(200, "a/1", Standard.UNLIMITED);
        assertThat(limits.current(5_000, Set.of("a/1"))).containsKey("a/1");
        limits.merge("a/1", statement(2, 150));
        assertThat(limits.limit("a/1")).isEmpty();
        assertThat(limits.current(20_000, Set.of("a/1"))).isEmpty();
    }

    @Test
    void theStatementsOfServersThatAreGoneAreRemoved() {
        limits.observe(100, "a/1", RateStatement.limited(2));
        limits.observe(100, "b/1", RateStatement.limited(3));
        assertThat(limits.current(200, Set.of("b/1"))).containsOnlyKeys("b/1");
        assertThat(limits.limit("a/1")).isEmpty();
    }

    private static Statement statement(double perSecond, long statedMillis) {
        return new Statement(OptionalDouble.of(perSecond), statedMillis);
    }
}
