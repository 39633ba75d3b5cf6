package org.cranberrygauge.verification.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.protocol.platform.Platform.UsageReport;
import org.cranberrygauge.verification.process.Deployment.Node;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class UsageProcessTest {

    private static final int TOKENS = 5;

    @TempDir
    Path directory;

    @Test
    void usage_of_a_gateway_killed_in_a_log_outage_is_reported_once_as_the_engine_counted_it() {
        try (Deployment deployment = new Deployment(directory)) {
            Node engine = deployment.engine("engine-1", "dk-east-a");
            List<Node> gateways = deployment.gateways(2);
            deployment.controller("host-0");
            deployment.apply("ole", deployment.configuration());
            Deployment.awaitReady(gateways);
            chat(gateways.get(0), 3);
            deployment.platformFault("log_outage", 1);
            chat(gateways.get(0), 4);
            Await.until("the peer holds the copy", () -> heldCalls(gateways.get(1)) == 7);
            gateways.get(0).program().kill();
            deployment.platformFault("lost_answers", 2);
            deployment.platformFault("log_outage", 0);
            deployment.replaceGateway(0);
            UsageFigures counted = Deployment.engineCounts(engine).usage().values().stream()
                    .reduce(UsageFigures.none(), UsageFigures::plus);
            Await.until("all usage is reported", () -> reported(deployment).calls() >= 7);
            assertThat(counted.calls()).isEqualTo(7);
            assertThat(reported(deployment)).isEqualTo(counted);
        }
    }

    private static void chat(Node gateway, int count) {
        for (int call = 0; call < count; call++) {
            assertThat(TestHttpClient.join(Deployment.chat(gateway.port(), TOKENS)))
                    .matches(Deployment::isComplete);
        }
    }

    private static long heldCalls(Node gateway) {
        return TestHttpClient.get(gateway.operationsPort(), "/state", GatewayState.class)
                .held_usage_calls();
    }

    /** Sums the usage windows, each once; repeated reports of a window must be equal. */
    private static UsageFigures reported(Deployment deployment) {
        Map<Long, UsageReport> windows = new TreeMap<>();
        for (UsageReport report : deployment.reports()) {
            UsageReport before = windows.put(report.windowId(), report);
            assertThat(before == null || before.figures().equals(report.figures()))
                    .isTrue();
        }
        return windows.values().stream()
                .flatMap(report -> report.figures().values().stream())
                .reduce(UsageFigures.none(), UsageFigures::plus);
    }

    /** The state that a gateway reports. */
    @com.fasterxml.jackson.annotation.JsonIgnoreProperties(ignoreUnknown = true)
    record GatewayState(String gateway, long held_usage_calls) {}
}
