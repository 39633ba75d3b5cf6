package org.cranberrygauge.decision.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class PermitIssuerTest {

    private static final String SERVER = "a/1";

    private final PermitIssuer issuer = new PermitIssuer();

    @Test
    void issuesNoMoreThanTheLimitAllows() {
        int issued = 0;
        for (long now = 0; now < 100_000; now += 10) {
            issued += issuer.issue(now, SERVER, 5, 1, 3);
        }
        assertThat(issued).isBetween(400, 500);
    }

    @Test
    void savesFewPermitsWhileNoneIsRequested() {
        issuer.issue(0, SERVER, 1, 1, 1);
        assertThat(issuer.issue(60_000, SERVER, 1, 1, 100)).isEqualTo(2);
    }

    @Test
    void leavesTheShareOfHostsThatAreNotHeardToThem() {
        int issued = 0;
        for (long now = 0; now < 100_000; now += 10) {
            issued += issuer.issue(now, SERVER, 10, 0.5, 3);
        }
        assertThat(issued).isBetween(400, 500);
    }

    @Test
    void addsNothingForTheTimeInWhichAnotherHostIssued() {
        assertThat(issuer.issue(0, SERVER, 1, 1, 100)).isEqualTo(1);
        issuer.pause(SERVER);
        assertThat(issuer.issue(60_000, SERVER, 1, 1, 100)).isZero();
        assertThat(issuer.issue(61_200, SERVER, 1, 1, 100)).isEqualTo(1);
    }

    @Test
    void aLimitOfZeroStillLetsAnOccasionalRequestFindItsEnd() {
        int issued = 0;
        for (long now = 0; now < 100_000; now += 100) {
            issued += issuer.issue(now, SERVER, 0, 1, 1);
        }
        assertThat(issued).isBetween(9, 12);
    }

    @Test
    void forgetsServersThatAreGone() {
        issuer.issue(0, SERVER, 1, 1, 1);
        issuer.retain(Set.of());
        assertThat(issuer.issue(1, SERVER, 1, 1, 1)).isEqualTo(1);
    }
}
