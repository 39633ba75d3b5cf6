package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.hostload.OtherHosts;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostReport;
import org.junit.jupiter.api.Test;

/** Guards the choice of the host that reads the shared log for a data centre. */
class PeerDirectoryTest {

    private static final NetworkAddress FIRST = new NetworkAddress("10.0.0.1", 1);

    private static final NetworkAddress SECOND = new NetworkAddress("10.0.0.2", 2);

    private final PeerDirectory peers = new PeerDirectory("host-2", "east");

    @Test
    void aHostReadsByItselfWhileItKnowsNoOther() {
        assertThat(peers.reader(1_000, true)).isEmpty();
        assertThat(peers.reader(1_000, false)).isEmpty();
    }

    @Test
    void theFirstByNameOfADataCentreReads() {
        receivesReport(1_000, "host-1", "east", true, FIRST);
        receivesReport(1_000, "host-3", "east", true, SECOND);
        assertThat(peers.reader(1_100, true)).contains(FIRST);
    }

    @Test
    void aHostThatIsTheFirstReadsByItself() {
        receivesReport(1_000, "host-3", "east", true, SECOND);
        receivesReport(1_000, "host-1", "west", true, FIRST);
        assertThat(peers.reader(1_100, true)).isEmpty();
    }

    @Test
    void aHostThatCannotReadOrIsSilentIsSkipped() {
        receivesReport(1_000, "host-1", "east", false, FIRST);
        assertThat(peers.reader(1_100, true)).isEmpty();
        receivesReport(1_200, "host-1", "east", true, FIRST);
        assertThat(peers.reader(1_300, true)).contains(FIRST);
        assertThat(peers.reader(2_200, true)).isEmpty();
    }

    @Test
    void aHostThatCannotReadQueriesOneOfItsDataCentreOrElseAnyOther() {
        receivesReport(1_000, "host-1", "west", true, FIRST);
        assertThat(peers.reader(1_100, false)).contains(FIRST);
        receivesReport(1_000, "host-3", "east", true, SECOND);
        assertThat(peers.reader(1_100, false)).contains(SECOND);
    }

    @Test
    void ofTwoIncarnationsOfAHostTheLaterOneIsUsed() {
        receivesReport(1_000, "host-1", "east", true, FIRST);
        HostReport older = new HostReport("host-1", 0, 99, Map.of(), List.of(), List.of(), "east", false);
        assertThat(peers.update(1_100, older, FIRST)).isFalse();
        assertThat(peers.reader(1_200, true)).contains(FIRST);
    }

    /** Guards against a host that takes its own absence for one of the log, and one of the log for its own. */
    @Test
    void theLogIsAvailableSinceTheEarliestTimeThatAnotherHostReportsInItsEra() {
        assertThat(peers.logAvailableSinceMillis(1_100, 1_000, 7)).isEmpty();
        reportsLogAvailable(1_000, "host-1", 300, 7);
        reportsLogAvailable(1_050, "host-3", 500, 7);
        reportsLogAvailable(1_050, "host-4", 900, 6);
        assertThat(peers.logAvailableSinceMillis(1_100, 1_000, 7)).hasValue(550);
        assertThat(peers.logAvailableSinceMillis(1_100, 1_060, 7)).isEmpty();
        assertThat(peers.logAvailableSinceMillis(2_060, 1_000, 7)).isEmpty();
    }

    private void reportsLogAvailable(long now, String host, long availableMillis, long era) {
        HostReport report = new HostReport(host, 1, now, Map.of(), List.of(), List.of(), "east", true)
                .setLogAvailableMillis(availableMillis)
                .setEra(era);
        peers.update(now, report, FIRST);
    }

    @Test
    void hostsThatHearOfEachOtherAgreeOnTheIssuerOfAServer() {
        PeerDirectory other = new PeerDirectory("host-1", "west");
        receivesReport(1_000, "host-1", "west", true, FIRST);
        HostReport report = new HostReport("host-2", 1, 1, Map.of(), List.of(), List.of(), "east", true);
        assertThat(other.update(1_000, report, SECOND)).isTrue();
        for (int server = 0; server < 20; server++) {
            String incarnation = "i-" + server + "/1";
            assertThat(peers.issuer(1_100, incarnation).isEmpty())
                    .isNotEqualTo(other.issuer(1_100, incarnation).isEmpty());
        }
        assertThat(peers.issuer(2_100, "i-0/1")).isEmpty();
    }

    @Test
    void theShareOfHostsThatAreKnownButNotHeardIsLeftToThemForATime() {
        receivesReport(1_000, "host-1", "west", true, FIRST);
        assertThat(peers.heardShare(1_100)).isEqualTo(1);
        assertThat(peers.heardShare(2_100)).isEqualTo(0.5);
        assertThat(peers.heardShare(30_000)).isEqualTo(1);
    }

    @Test
    void aSilentHostKeepsItsRankForATime() {
        receivesReport(1_000, "host-1", "west", true, FIRST);
        receivesReport(1_000, "host-3", "west", true, SECOND);
        List<NetworkAddress> ranked = peers.ranked(1_100, "stream-1", 5);
        assertThat(ranked).containsExactlyInAnyOrder(FIRST, SECOND);
        assertThat(peers.ranked(9_000, "stream-1", 5)).isEqualTo(ranked);
        assertThat(peers.ranked(9_000, "stream-1", 1)).isEqualTo(ranked.subList(0, 1));
        assertThat(peers.ranked(30_000, "stream-1", 5)).isEmpty();
    }

    /** Guards against ratios of silent hosts, and against a value that was not sent being taken for a ratio. */
    @Test
    void theSpeedRatiosOfEachRecentReportAreKept() {
        HostReport first = new HostReport("host-1", 1, 1, Map.of(), List.of(), List.of(), "east", true);
        first.setServerSpeedPercent(Map.of("slow/1", 250, "garbled/1", 0));
        HostReport second = new HostReport("host-3", 1, 1, Map.of(), List.of(), List.of(), "east", true);
        second.setServerSpeedPercent(Map.of("slow/1", 100));
        peers.update(1_000, first, FIRST);
        peers.update(1_500, second, SECOND);
        receivesReport(1_500, "host-4", "east", true, SECOND);
        assertThat(peers.loads(1_600).speedRatios()).containsOnlyKeys("slow/1");
        assertThat(peers.loads(1_600).speedRatios().get("slow/1")).containsExactlyInAnyOrder(2.5, 1.0);
        assertThat(peers.loads(2_600).speedRatios().get("slow/1")).containsExactly(1.0);
    }

    @Test
    void theDelayOfAHostIsUsedOnlyWhileItIsHeardAndIsUnknownIfItReportsNone() {
        HostReport report = new HostReport("host-1", 1, 1, Map.of(), List.of(), List.of(), "west", true);
        peers.update(1_000, report.setLoopDelayMillis(0), FIRST);
        receivesReport(1_000, "host-3", "west", true, SECOND);
        assertThat(peers.otherHosts(1_500)).isEqualTo(new OtherHosts(1_500, 1, List.of(0)));
        assertThat(peers.otherHosts(2_000)).isEqualTo(new OtherHosts(2_000, 0, List.of()));
    }

    private void receivesReport(long nowMillis, String host, String dataCentre, boolean reads, NetworkAddress address) {
        HostReport report = new HostReport(host, 1, nowMillis, Map.of(), List.of(), List.of(), dataCentre, reads);
        assertThat(peers.update(nowMillis, report, address)).isTrue();
    }
}
