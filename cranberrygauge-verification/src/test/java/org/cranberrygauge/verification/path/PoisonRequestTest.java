package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;

/** A request that crashes each engine that runs it, sent again by its caller through one gateway after another. */
class PoisonRequestTest {

    private static final ChatPrompt POISON = new ChatPrompt("CRASH-THE-ENGINE", 5);

    private static final int RESENDS = 8;

    private static final int INNOCENTS = 12;

    @Test
    void losesAtMostThreeEnginesToOnePoisonRequestAndRefusesNoOther() throws Exception {
        Losses losses = measure(PathBench.Size.of(4, 6, 0).withLongestWait(2_000), RESENDS);

        System.out.println("poison request with quarantine: " + losses);
        assertThat(losses.enginesLost()).isBetween(2, 3);
        assertThat(losses.innocentsNotWhole()).isZero();
        assertThat(losses.quarantined()).isEqualTo(RESENDS);
    }

    @Test
    void losesEveryEngineWithoutQuarantine() throws Exception {
        Losses losses =
                measure(PathBench.Size.of(4, 6, 0).withLongestWait(2_000).withoutQuarantine(), RESENDS);

        System.out.println("poison request without quarantine: " + losses);
        assertThat(losses.enginesLost()).isEqualTo(6);
        assertThat(losses.innocentsNotWhole()).isPositive();
    }

    @Test
    void neverLosesTheLastEngine() throws Exception {
        Losses losses = measure(PathBench.Size.of(2, 2, 0).withLongestWait(300), 4);

        System.out.println("poison request, two engines, with quarantine: " + losses);
        assertThat(losses.enginesLost()).isEqualTo(1);
        assertThat(losses.innocentsNotWhole()).isLessThanOrEqualTo(INNOCENTS / 2);
    }

    @Test
    void losesTheLastEngineWithoutQuarantine() throws Exception {
        Losses losses = measure(PathBench.Size.of(2, 2, 0).withLongestWait(300).withoutQuarantine(), 4);

        System.out.println("poison request, two engines, without quarantine: " + losses);
        assertThat(losses.enginesLost()).isEqualTo(2);
    }

    private static Losses measure(PathBench.Size size, int resends) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(INNOCENTS);
        try (PathBench bench = new PathBench(size)) {
            List<CompletableFuture<Boolean>> innocents = new ArrayList<>();
            for (int number = 0; number < INNOCENTS; number++) {
                ChatPrompt prompt = new ChatPrompt("innocent " + number, 600);
                int gateway = number % size.gateways();
                innocents.add(CompletableFuture.supplyAsync(() -> isWhole(bench, gateway, prompt), threads));
            }
            Await.until("the innocents run", () -> running(bench) == INNOCENTS);
            int quarantined = 0;
            for (int attempt = 0; attempt < resends; attempt++) {
                HttpResponse<String> answer =
                        bench.chat(attempt % size.gateways(), BenchConfiguration.OTHER_KEY, POISON.body(false));
                quarantined += answer.statusCode() == 422 ? 1 : 0;
            }
            int notWhole = 0;
            for (CompletableFuture<Boolean> innocent : innocents) {
                notWhole += innocent.get() ? 0 : 1;
            }
            return new Losses((int) (size.engines() - bench.enginesUp()), notWhole, quarantined);
        } finally {
            threads.shutdownNow();
        }
    }

    private static int running(PathBench bench) throws Exception {
        int sum = 0;
        for (int port : bench.enginePorts()) {
            sum += bench.engineCounts(port).running();
        }
        return sum;
    }

    private static boolean isWhole(PathBench bench, int gateway, ChatPrompt prompt) {
        try {
            HttpResponse<String> answer = bench.chat(gateway, BenchConfiguration.KEY, prompt.body(false));
            return answer.statusCode() == 200 && ChatPrompt.contentOf(answer).equals(prompt.wholeAnswer());
        } catch (Exception exception) {
            return false;
        }
    }

    private record Losses(int enginesLost, int innocentsNotWhole, int quarantined) {}
}
