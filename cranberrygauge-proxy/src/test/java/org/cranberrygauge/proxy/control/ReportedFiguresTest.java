package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.cranberrygauge.decision.backend.BackendStatements.Limit;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.BackendStated;
import org.cranberrygauge.protocol.generated.BackendWork;
import org.cranberrygauge.protocol.generated.CrashSeen;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.protocol.generated.PartCompleted;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.junit.jupiter.api.Test;

/** Guards against figures in reports of other hosts that no host computes and that would hold for ever. */
class ReportedFiguresTest {

    private static final long NOW = 5_000;

    @Test
    void aLimitIsNeverReadAsStatedInTheFuture() {
        BackendStated stated =
                new BackendStated("i-1/1", false).setLimitAgeMillis(-1_000_000).setPerSecond(3);
        assertThat(StatementReports.read(NOW, List.of(stated)).get("i-1/1").limit())
                .contains(new Limit(OptionalDouble.of(3), NOW));
    }

    @Test
    void aLimitThatIsNoRateIsIgnored() {
        for (double rate : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1}) {
            BackendStated stated =
                    new BackendStated("i-1/1", true).setLimitAgeMillis(0).setPerSecond(rate);
            assertThat(StatementReports.read(NOW, List.of(stated)).get("i-1/1").limit())
                    .isEmpty();
        }
    }

    @Test
    void aCrashAndACompletionAreNeverReadAsOfTheFuture() {
        assertThat(CrashReports.read(NOW, new CrashSeen("i-1/1", -70_000, List.of()))
                        .atMillis())
                .isEqualTo(NOW);
        assertThat(CrashReports.read(NOW, new PartCompleted(3, -70_000)).atMillis())
                .isEqualTo(NOW);
    }

    @Test
    void aLogIsNeverReadAsAvailableSinceTheFuture() {
        PeerDirectory peers = new PeerDirectory("host-1", "east");
        HostReport report = new HostReport("host-2", 1, 1, Map.of(), List.of(), List.of(), "east", true)
                .setLogAvailableMillis(-1_000_000);
        peers.update(NOW, report, new NetworkAddress("10.0.0.2", 1));
        assertThat(peers.logAvailableSinceMillis(NOW, NOW, 0)).isEmpty();
    }

    @Test
    void negativeWorkIsReadAsNone() {
        PeerDirectory peers = new PeerDirectory("host-1", "east");
        BackendWork work = new BackendWork(-3, -1, Long.MIN_VALUE, -2);
        HostReport report = new HostReport("host-2", 1, 1, Map.of("i-1/1", work), List.of(), List.of(), "east", true);
        peers.update(NOW, report, new NetworkAddress("10.0.0.2", 1));
        assertThat(peers.loads(NOW).at("i-1/1")).isEqualTo(Work.NONE);
    }
}
