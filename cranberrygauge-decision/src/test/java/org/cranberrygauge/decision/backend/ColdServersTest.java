package org.cranberrygauge.decision.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against more requests to a cold backend server than it survives, and against limits that outlast it. */
class ColdServersTest {

    private static final String SERVER = "i-1/1";

    private final ColdServers cold = new ColdServers(pool -> pool.equals("engines") ? 5 : 0);

    @Test
    void aColdServerHasTheLimitOfItsPoolForTheTimeThatItStates() {
        cold.observe(1_000, "engines", SERVER, 3_000);
        assertThat(cold.limit(3_999, SERVER)).hasValue(5);
        assertThat(cold.limit(4_000, SERVER)).isEmpty();
    }

    @Test
    void aServerThatIsColdAgainHasALimitAgain() {
        cold.observe(1_000, "engines", SERVER, 500);
        assertThat(cold.observe(2_000, "engines", SERVER, 0)).isTrue();
        assertThat(cold.observe(9_000, "engines", SERVER, 3_000)).isTrue();
        assertThat(cold.limit(11_000, SERVER)).hasValue(5);
    }

    @Test
    void aPoolWhoseColdServersTakeAnyRateHasNoLimit() {
        cold.observe(1_000, "plain", SERVER, 3_000);
        assertThat(cold.limit(1_000, SERVER)).isEmpty();
    }

    @Test
    void aPresumptionEndsWithTheNextEntryOrAfterItsTime() {
        cold.presume(1_000, "engines", SERVER, 2_000);
        cold.presume(1_000, "engines", "i-2/1", 2_000);
        cold.observe(1_500, "engines", SERVER, 0);
        assertThat(cold.limit(1_500, SERVER)).isEmpty();
        assertThat(cold.limit(2_999, "i-2/1")).hasValue(5);
        assertThat(cold.limit(3_000, "i-2/1")).isEmpty();
    }

    @Test
    void aPresumptionDoesNotShortenWhatAServerStates() {
        cold.observe(1_000, "engines", SERVER, 5_000);
        cold.presume(1_000, "engines", SERVER, 2_000);
        assertThat(cold.limit(5_999, SERVER)).hasValue(5);
    }

    @Test
    void anAbsurdTimeIsBounded() {
        cold.observe(0, "engines", SERVER, Long.MAX_VALUE);
        assertThat(cold.limit(ColdServers.MAXIMUM_COLD_MILLIS, SERVER)).isEmpty();
    }

    @Test
    void aServerThatIsGoneIsForgotten() {
        cold.observe(0, "engines", SERVER, 3_000);
        cold.retain(Set.of());
        assertThat(cold.count(0)).isZero();
    }

    @Test
    void theLowerOfAStatedLimitAndThatOfAColdServerHolds() {
        BackendStatements statements = new BackendStatements();
        BackendLimits limits = new BackendLimits(statements, cold);
        statements.observe(
                0, SERVER, new BackendStatement(RateStatement.limited(2), false, OptionalLong.empty(), false));
        assertThat(limits.perSecond(0, SERVER)).isEqualTo(OptionalDouble.of(2));
        cold.observe(0, "engines", SERVER, 3_000);
        assertThat(limits.perSecond(0, SERVER)).isEqualTo(OptionalDouble.of(2));
        assertThat(limits.perSecond(0, "i-2/1")).isEmpty();
    }
}
