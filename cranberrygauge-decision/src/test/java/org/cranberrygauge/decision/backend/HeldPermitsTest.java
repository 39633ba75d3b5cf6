package org.cranberrygauge.decision.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class HeldPermitsTest {

    private static final String SERVER = "a/1";

    private final HeldPermits permits = new HeldPermits();

    @Test
    void aPermitIsUsedOnce() {
        permits.add(100, SERVER, 1);
        assertThat(permits.has(110, SERVER)).isTrue();
        assertThat(permits.use(110, SERVER)).isTrue();
        assertThat(permits.has(120, SERVER)).isFalse();
        assertThat(permits.use(120, SERVER)).isFalse();
    }

    @Test
    void aPermitIsValidForATimeFromItsRequest() {
        permits.add(100, SERVER, 2);
        assertThat(permits.has(100 + HeldPermits.VALIDITY_MILLIS - 1, SERVER)).isTrue();
        assertThat(permits.use(100 + HeldPermits.VALIDITY_MILLIS, SERVER)).isFalse();
    }

    @Test
    void noPermitIsRequestedShortlyAfterAnUnfulfilledRequest() {
        assertThat(permits.mayRequest(100, SERVER)).isTrue();
        permits.recordRequest(100, SERVER);
        assertThat(permits.mayRequest(150, SERVER)).isFalse();
        permits.add(100, SERVER, 0);
        assertThat(permits.mayRequest(150, SERVER)).isFalse();
        assertThat(permits.mayRequest(200, SERVER)).isTrue();
    }

    @Test
    void permitsThatWereIssuedAllowTheNextRequestAtOnce() {
        permits.recordRequest(100, SERVER);
        permits.add(100, SERVER, 1);
        assertThat(permits.mayRequest(101, SERVER)).isTrue();
    }

    @Test
    void permitsForServersThatAreGoneAreRemoved() {
        permits.add(100, SERVER, 1);
        permits.retain(Set.of("b/1"));
        assertThat(permits.has(101, SERVER)).isFalse();
    }
}
