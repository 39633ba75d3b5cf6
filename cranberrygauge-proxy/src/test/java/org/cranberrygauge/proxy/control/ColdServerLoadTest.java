package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against hosts that together send a cold backend server more requests in a second than it survives (rule
 * FAILBACK), while they freeze, restart, join or are cut off.
 */
class ColdServerLoadTest {

    private static final int COLD_MILLIS = 3_000;

    @ParameterizedTest
    @CsvSource({"4, 10", "25, 5", "63, 2", "100, 1"})
    void aFleetKeepsToTheRateOfAColdServerWhateverHappensToItsHosts(int hosts, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            ColdFleet fleet = new ColdFleet(hosts, 60, seed);
            for (int round = 0; round < 4; round++) {
                fleet.startServers(1, COLD_MILLIS);
                fleet.advance(COLD_MILLIS, true);
                fleet.retireServers();
            }
            assertThat(fleet.worstExcess()).as("seed %d", seed).isLessThanOrEqualTo(0);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 20})
    void aWholePoolMayBeColdAtOnce(int servers) {
        ColdFleet fleet = new ColdFleet(25, 40, 3);
        fleet.startServers(servers, COLD_MILLIS);
        fleet.advance(COLD_MILLIS, false);
        assertThat(fleet.worstExcess()).isLessThanOrEqualTo(0);
        assertThat(fleet.served()).isGreaterThan(4 * servers);
    }

    @Test
    void hostsThatJoinWhileAServerIsColdKeepToItsRate() {
        ColdFleet fleet = new ColdFleet(25, 60, 5);
        long coldUntilMillis = fleet.now() + COLD_MILLIS;
        fleet.startServers(1, COLD_MILLIS);
        for (int number = 0; number < 10; number++) {
            fleet.advance(COLD_MILLIS / 10, false);
            fleet.join(coldUntilMillis);
        }
        assertThat(fleet.worstExcess()).isLessThanOrEqualTo(0);
    }

    /** Shows that the simulation can fail: a server whose entry does not state that it is cold gets too much. */
    @Test
    void aServerThatDoesNotStateThatItIsColdGetsMoreThanItSurvives() {
        ColdFleet fleet = new ColdFleet(25, 60, 1);
        fleet.startServers(1, 0);
        fleet.advance(COLD_MILLIS, false);
        assertThat(fleet.worstExcess()).isGreaterThan(0);
    }
}
