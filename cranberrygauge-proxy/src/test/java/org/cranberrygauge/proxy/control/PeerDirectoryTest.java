package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostReport;
import org.junit.jupiter.api.Test;

/** Answers which host of a data centre reads the shared log, and who counts as a peer. */
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
        hears(1_000, "host-1", "east", true, FIRST);
        hears(1_000, "host-3", "east", true, SECOND);
        assertThat(peers.reader(1_100, true)).contains(FIRST);
    }

    @Test
    void aHostThatIsTheFirstReadsByItself() {
        hears(1_000, "host-3", "east", true, SECOND);
        hears(1_000, "host-1", "west", true, FIRST);
        assertThat(peers.reader(1_100, true)).isEmpty();
    }

    @Test
    void aHostThatCannotReadOrIsSilentIsPassedOver() {
        hears(1_000, "host-1", "east", false, FIRST);
        assertThat(peers.reader(1_100, true)).isEmpty();
        hears(1_200, "host-1", "east", true, FIRST);
        assertThat(peers.reader(1_300, true)).contains(FIRST);
        assertThat(peers.reader(2_200, true)).isEmpty();
    }

    @Test
    void aHostThatIsTurnedAwayAsksOneOfItsDataCentreOrElseAnyOther() {
        hears(1_000, "host-1", "west", true, FIRST);
        assertThat(peers.reader(1_100, false)).contains(FIRST);
        hears(1_000, "host-3", "east", true, SECOND);
        assertThat(peers.reader(1_100, false)).contains(SECOND);
    }

    @Test
    void ofTwoStartsOfAHostTheLaterCounts() {
        hears(1_000, "host-1", "east", true, FIRST);
        HostReport older = new HostReport("host-1", 0, 99, Map.of(), List.of(), List.of(), "east", false);
        assertThat(peers.take(1_100, older, FIRST)).isFalse();
        assertThat(peers.reader(1_200, true)).contains(FIRST);
    }

    private void hears(long nowMillis, String host, String dataCentre, boolean reads, NetworkAddress address) {
        HostReport report = new HostReport(host, 1, nowMillis, Map.of(), List.of(), List.of(), dataCentre, reads);
        assertThat(peers.take(nowMillis, report, address)).isTrue();
    }
}
