package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against parts of prompts that crash one backend server after the other, and against sound parts that are blamed
 * for it (incident BUDGET), in fleets of several sizes whose hosts freeze, restart, join or are cut off.
 */
class CrashExchangeTest {

    /** The requests that may reach engines once the hosts have had their time to act. */
    private static final int ALLOWED_ARRIVALS = 3;

    /** The share of sound requests that may be blocked by mistake. */
    private static final double ALLOWED_SHARE = 0.02;

    @ParameterizedTest
    @CsvSource({"4, 8, 0.5, 20", "4, 8, 2, 20", "4, 19, 6, 20", "38, 42, 4, 1", "63, 60, 10, 1"})
    void aCrashingPartIsSentToNoMoreEnginesWhateverHappensToHosts(int hosts, int engines, double perSecond, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            CrashingFleet fleet = new CrashingFleet(hosts, engines, seed)
                    .withCrashingPart(perSecond)
                    .withHostFaults(2_000)
                    .run();
            assertThat(fleet.crashes()).as("seed %d", seed).isGreaterThanOrEqualTo(3);
            assertThat(fleet.lateArrivals()).as("seed %d", seed).isLessThanOrEqualTo(ALLOWED_ARRIVALS);
            assertThat(fleet.blockedShareOfSound()).as("seed %d", seed).isLessThan(ALLOWED_SHARE);
        }
    }

    @ParameterizedTest
    @CsvSource({"4, 8, 2, 20", "38, 42, 4, 1"})
    void aCrashingPartIsFoundWhileOtherEnginesCrashToo(int hosts, int engines, double perSecond, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            CrashingFleet fleet = new CrashingFleet(hosts, engines, seed)
                    .withCrashingPart(perSecond)
                    .withRandomCrashes(1_500)
                    .withLosses(9_000)
                    .run();
            assertThat(fleet.lateArrivals()).as("seed %d", seed).isLessThanOrEqualTo(ALLOWED_ARRIVALS);
            assertThat(fleet.blockedShareOfSound()).as("seed %d", seed).isLessThan(ALLOWED_SHARE);
        }
    }

    @ParameterizedTest
    @CsvSource({"4, 8, 20", "38, 42, 1"})
    void enginesThatCrashByThemselvesOrTogetherBlameHardlyAnyPart(int hosts, int engines, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            CrashingFleet fleet = new CrashingFleet(hosts, engines, seed)
                    .withRandomCrashes(700)
                    .withLosses(6_000)
                    .withHostFaults(3_000)
                    .run();
            assertThat(fleet.blockedShareOfSound()).as("seed %d", seed).isLessThan(ALLOWED_SHARE);
        }
    }
}
