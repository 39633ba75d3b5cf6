package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.backend.BackendLimits;
import org.cranberrygauge.decision.backend.BackendStatement;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.backend.ColdServers;
import org.cranberrygauge.decision.backend.HeldPermits;
import org.cranberrygauge.decision.backend.RateStatement;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.protocol.generated.PermitAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against hosts that together send a backend server more requests than the limit that it states (incident LIMIT),
 * in fleets of several sizes whose hosts freeze, restart, join or are cut off.
 */
class PermitExchangeTest {

    private static final String SERVER = "i-1@1";

    private static final NetworkAddress OTHER = new NetworkAddress("10.0.0.2", 1);

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

    /** Guards against permits that were issued to the process before and are counted twice. */
    @Test
    void anAnswerToTheProcessBeforeBringsNoPermits() {
        RecordingTransport before = new RecordingTransport();
        exchange(before, new HeldPermits()).request(SERVER);
        PermitAnswer late =
                new PermitAnswer(before.lastSent().getPermitQuestion().getNumber(), 5);
        RecordingTransport after = new RecordingTransport();
        HeldPermits permits = new HeldPermits();
        exchange(after, permits).request(SERVER);
        after.deliver(HostMessage.permitAnswer(late), OTHER);
        assertThat(permits.has(0, SERVER)).isFalse();
    }

    /** Starts a process of a host that knows the limit of a server whose permits another host issues. */
    private static PermitExchange exchange(MessageTransport transport, HeldPermits permits) {
        BackendStatements statements = new BackendStatements();
        VirtualTimeline timeline = new VirtualTimeline();
        long now = timeline.monotonicMillis();
        statements.observe(now, SERVER, BackendStatement.NONE.withRate(RateStatement.limited(10)));
        PeerDirectory peers = new PeerDirectory("host-1", "east");
        for (int number = 2; number < 40; number++) {
            HostReport report = new HostReport("host-" + number, 1, 1, Map.of(), List.of(), List.of(), "east", true);
            peers.update(now, report, OTHER);
        }
        BackendLimits limits = new BackendLimits(statements, new ColdServers(pool -> 0));
        return new PermitExchange(timeline, peers, transport, limits, permits, () -> {});
    }

    /** Shows that the simulation can fail: hosts that do not hear of each other exceed the limit. */
    @Test
    void hostsThatKnowNoOtherExceedTheLimit() {
        LimitedFleet fleet = new LimitedFleet(4, 10, 1);
        fleet.runWithoutReports();
        assertThat(fleet.worstExcess()).isGreaterThan(0);
    }
}
