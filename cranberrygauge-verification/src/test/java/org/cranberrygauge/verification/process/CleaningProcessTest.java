package org.cranberrygauge.verification.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cranberrygauge.model.configuration.CleaningWindow;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.LogRecord.DrainEnded;
import org.cranberrygauge.model.record.LogRecord.DrainStarted;
import org.cranberrygauge.verification.process.Deployment.Node;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CleaningProcessTest {

    private static final int TWO_DAYS_MINUTES = 2 * 24 * 60;

    @TempDir
    Path directory;

    @Test
    void cleaning_drains_one_backend_server_at_a_time_and_interrupts_no_stream() {
        try (Deployment deployment = new Deployment(directory)) {
            List<Node> engines =
                    List.of(deployment.engine("engine-1", "dk-east-a"), deployment.engine("engine-2", "dk-east-a"));
            List<Node> gateways = deployment.gateways(2);
            CleaningWindow window = new CleaningWindow(
                    "dk-east-a", LocalDate.now(ZoneOffset.UTC).minusDays(1).getDayOfWeek(), 0, TWO_DAYS_MINUTES);
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            deployment.apply("ole", deployment.configuration().withCleaningWindows(List.of(window)));
            Deployment.awaitReady(gateways);
            for (Node gateway : gateways) {
                answers.add(TestHttpClient.send(Deployment.chat(gateway.port(), 300)));
            }
            deployment.controller("host-a", "--cleaning-millis", "300");
            int round = 0;
            while (deployment.log(DrainEnded.class).size() < 2) {
                answers.add(TestHttpClient.send(
                        Deployment.chat(gateways.get(round % 2).port(), 20)));
                answers.get(answers.size() - 1).join();
                round++;
                assertThat(round).as("chats until both servers were cleaned").isLessThan(500);
            }
            answers.forEach(answer -> assertThat(answer.join()).matches(Deployment::isComplete));
            assertThat(maximumConcurrentDrains(deployment.log())).isEqualTo(1);
            engines.forEach(engine ->
                    assertThat(Deployment.engineCounts(engine).cancelled()).isZero());
        }
    }

    @Test
    void a_drained_backend_server_gets_no_new_requests_after_a_second() {
        try (Deployment deployment = new Deployment(directory)) {
            Node drained = deployment.engine("engine-1", "dk-east-a");
            deployment.engine("engine-2", "dk-east-a");
            List<Node> gateways = deployment.gateways(2);
            deployment.apply("ole", deployment.configuration());
            Deployment.awaitReady(gateways);
            long startNanos = System.nanoTime();
            deployment
                    .platform()
                    .append(org.cranberrygauge.protocol.log.LogCodec.write(new org.cranberrygauge.model.record.LogEntry(
                            "operator", 1, List.of(new DrainStarted("drain-1", 0, Set.of("engine-1"), "test")))))
                    .toCompletableFuture()
                    .join();
            Await.until("a second has passed", () -> Measurements.since(startNanos) > 1_000);
            long before = calls(drained);
            for (int call = 0; call < 20; call++) {
                assertThat(TestHttpClient.join(
                                Deployment.chat(gateways.get(call % 2).port(), 3)))
                        .matches(Deployment::isComplete);
            }
            assertThat(calls(drained)).isEqualTo(before);
        }
    }

    private static long calls(Node engine) {
        return Deployment.engineCounts(engine).usage().values().stream()
                .mapToLong(figures -> figures.calls())
                .sum();
    }

    private static int maximumConcurrentDrains(List<LogRecord> records) {
        Set<String> drains = new HashSet<>();
        int most = 0;
        for (LogRecord record : records) {
            if (record instanceof DrainStarted started) {
                drains.add(started.drainId());
            } else if (record instanceof DrainEnded ended) {
                drains.remove(ended.drainId());
            }
            most = Math.max(most, drains.size());
        }
        return most;
    }
}
