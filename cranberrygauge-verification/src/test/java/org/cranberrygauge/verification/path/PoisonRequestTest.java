package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;

/** A request crashes every engine that runs it and is retried by its caller through one gateway after another. */
class PoisonRequestTest {

    private static final ChatPrompt POISON = new ChatPrompt("CRASH-THE-ENGINE", 5);

    private static final int SENDS = 8;

    @Test
    void losesAtMostThreeEnginesToOnePoisonRequestAndRefusesNoOther() throws Exception {
        Losses losses = measure(InProcessDeployment.DeploymentOptions.of(4, 6, 0), 12, SENDS);

        System.out.println("poison request, six engines, with quarantine: " + losses);
        assertThat(losses.enginesLost()).isBetween(2, 3);
        assertThat(losses.refusedOthers()).isEmpty();
        assertThat(losses.quarantined()).isEqualTo(SENDS);
    }

    @Test
    void losesEveryEngineWithoutQuarantine() throws Exception {
        Losses losses = measure(
                InProcessDeployment.DeploymentOptions.of(4, 6, 0)
                        .withLongestWait(2_000)
                        .withoutQuarantine(),
                12,
                SENDS);

        System.out.println("poison request, six engines, without quarantine: " + losses);
        assertThat(losses.enginesLost()).isEqualTo(6);
        assertThat(losses.refusedOthers()).isNotEmpty();
    }

    @Test
    void neverLosesTheLastEngine() throws Exception {
        Losses losses =
                measure(InProcessDeployment.DeploymentOptions.of(2, 2, 0).withLongestWait(1_000), 6, 4);

        System.out.println("poison request, two engines, with quarantine: " + losses);
        assertThat(losses.enginesLost()).isEqualTo(1);
        assertThat(losses.refusedOthers()).hasSizeLessThan(6);
    }

    @Test
    void losesTheLastEngineWithoutQuarantine() throws Exception {
        Losses losses = measure(
                InProcessDeployment.DeploymentOptions.of(2, 2, 0)
                        .withLongestWait(1_000)
                        .withoutQuarantine(),
                6,
                4);

        System.out.println("poison request, two engines, without quarantine: " + losses);
        assertThat(losses.enginesLost()).isEqualTo(2);
        assertThat(losses.refusedOthers()).hasSize(6);
    }

    private static Losses measure(InProcessDeployment.DeploymentOptions options, int others, int sends)
            throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(others);
        try (InProcessDeployment deployment = new InProcessDeployment(options)) {
            List<CompletableFuture<String>> running = new ArrayList<>();
            for (int number = 0; number < others; number++) {
                ChatPrompt prompt = new ChatPrompt("other " + number, 600);
                int gateway = number % options.gateways();
                running.add(CompletableFuture.supplyAsync(() -> outcome(deployment, gateway, prompt), threads));
            }
            Await.until("the others run", () -> running(deployment) == others);
            int quarantined = 0;
            for (int send = 0; send < sends; send++) {
                HttpResponse<String> answer = deployment.chat(
                        send % options.gateways(), InProcessConfiguration.OTHER_KEY, POISON.body(false));
                quarantined += answer.statusCode() == 422 ? 1 : 0;
            }
            List<String> refused = new ArrayList<>();
            for (CompletableFuture<String> other : running) {
                refused.add(other.get());
            }
            refused.removeIf("whole"::equals);
            return new Losses((int) (options.engines() - deployment.reachableEngines()), refused, quarantined);
        } finally {
            threads.shutdownNow();
        }
    }

    private static int running(InProcessDeployment deployment) throws Exception {
        int sum = 0;
        for (int port : deployment.enginePorts()) {
            sum += deployment.engineCounts(port).running();
        }
        return sum;
    }

    private static String outcome(InProcessDeployment deployment, int gateway, ChatPrompt prompt) {
        try {
            HttpResponse<String> answer = deployment.chat(gateway, InProcessConfiguration.KEY, prompt.body(false));
            if (answer.statusCode() != 200) {
                return InProcessDeployment.errorOf(answer).getString("code");
            }
            return ChatPrompt.contentOf(answer).equals(prompt.wholeAnswer()) ? "whole" : "cut";
        } catch (Exception exception) {
            return exception.toString();
        }
    }

    private record Losses(int enginesLost, List<String> refusedOthers, int quarantined) {}
}
