package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against hosts that together send a backend server more requests than the limit that it states (incident LIMIT),
 * in fleets of several sizes whose hosts freeze, restart, join or are cut off.
 */
class PermitExchangeTest {

    @ParameterizedTest
    @CsvSource({"4, 0.5, 20", "4, 1, 20", "4, 30, 20", "38, 1, 2", "38, 10, 2", "63, 1, 1", "63, 5, 1", "63, 40, 1"})
    void aFleetKeepsToTheLimitWhateverHappensToItsHosts(int hosts, double limitPerSecond, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            LimitedFleet fleet = new LimitedFleet(hosts, limitPerSecond, seed);
            fleet.runWithFaults();
            assertThat(fleet.worstExcess()).as("seed %d", seed).isLessThanOrEqualTo(0);
        }
    }

    @ParameterizedTest
    @CsvSource({"4, 1", "38, 1", "63, 5", "4, 30"})
    void aCalmFleetUsesMostOfTheLimit(int hosts, double limitPerSecond) {
        LimitedFleet fleet = new LimitedFleet(hosts, limitPerSecond, 1);
        fleet.runCalm();
        assertThat(fleet.worstExcess()).isLessThanOrEqualTo(0);
        assertThat(fleet.arrivalsPerSecond()).isGreaterThan(0.6 * limitPerSecond);
    }

    @Test
    void aLimitThatChangesAndEndsIsFollowed() {
        LimitedFleet fleet = new LimitedFleet(4, 10, 3);
        fleet.runWithChanges(2, 20);
        assertThat(fleet.worstExcess()).isLessThanOrEqualTo(0);
    }

    @Test
    void twoHalvesOfAPartitionedFleetTogetherKeepToTheLimit() {
        LimitedFleet fleet = new LimitedFleet(38, 10, 5);
        fleet.runPartitioned();
        assertThat(fleet.worstExcess()).isLessThanOrEqualTo(0);
    }

    /** Shows that the simulation can fail: hosts that do not hear of each other exceed the limit. */
    @Test
    void hostsThatKnowNoOtherExceedTheLimit() {
        LimitedFleet fleet = new LimitedFleet(4, 10, 1);
        fleet.runWithoutReports();
        assertThat(fleet.worstExcess()).isGreaterThan(0);
    }
}
