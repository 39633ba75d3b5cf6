package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineFailureTest {

    private static final String KEY = InProcessConfiguration.KEY;

    private static final ChatPrompt PROMPT = new ChatPrompt("a whole answer", 10);

    private static InProcessDeployment deployment;

    @BeforeAll
    static void start() throws Exception {
        deployment = new InProcessDeployment(InProcessDeployment.DeploymentOptions.of(1, 2, 2));
    }

    @AfterAll
    static void stop() throws Exception {
        deployment.close();
    }

    @AfterEach
    void switchFaultsOff() throws Exception {
        for (String fault : new String[] {
            "GARBAGE",
            "DROP",
            "HANG",
            "STATUS",
            "CROSSED",
            "BREAK_AFTER_TOKENS",
            "HANG_AFTER_TOKENS",
            "GARBAGE_AFTER_TOKENS"
        }) {
            deployment.faultOnEngines(fault, 0);
        }
        deployment.fault(deployment.ledgerPorts().get(0), "CROSSED", 0);
        deployment.fault(deployment.ledgerPorts().get(0), "LATE_MILLIS", 0);
    }

    @ParameterizedTest
    @CsvSource({
        "GARBAGE,1",
        "DROP,1",
        "HANG,1",
        "STATUS,500",
        "STATUS,404",
        "CROSSED,1",
        "BREAK_AFTER_TOKENS,3",
        "HANG_AFTER_TOKENS,3",
        "GARBAGE_AFTER_TOKENS,3"
    })
    void returnsTheCompleteAnswerWhenOneEngineFails(String fault, double amount) throws Exception {
        int faulty = deployment.enginePorts().get(0);
        long before = deployment.engineCounts(faulty).started();
        deployment.fault(faulty, fault, amount);

        AtomicInteger tries = new AtomicInteger();
        Await.until("the faulty engine gets requests", () -> {
            ChatPrompt prompt = new ChatPrompt("whole " + fault + " " + tries.incrementAndGet(), 12);
            HttpResponse<String> plain = deployment.chat(0, KEY, prompt.body(false));
            assertThat(plain.statusCode()).as(plain.body()).isEqualTo(200);
            assertThat(ChatPrompt.contentOf(plain)).isEqualTo(prompt.wholeAnswer());
            ChatPrompt.Transcript stream =
                    ChatPrompt.read(deployment.stream(0, KEY, prompt.body(true)).body());
            assertThat(stream.text().toString()).isEqualTo(prompt.wholeAnswer());
            assertThat(stream.end().toString()).isEqualTo("done");
            return deployment.engineCounts(faulty).started() >= before + 2;
        });
    }

    @Test
    void relaysAClientErrorOfAnEngineWithoutRetrying() throws Exception {
        long before = startedOnAll();
        deployment.faultOnEngines("STATUS", 400);

        HttpResponse<String> answer = deployment.chat(0, KEY, PROMPT.body(false));

        assertThat(answer.statusCode()).isEqualTo(400);
        assertThat(InProcessDeployment.errorOf(answer).getBoolean("not_run")).isFalse();
        assertThat(startedOnAll()).isEqualTo(before + 1);
        deployment.faultOnEngines("STATUS", 0);
        assertThat(deployment.chat(0, KEY, PROMPT.body(false)).statusCode()).isEqualTo(200);
    }

    @Test
    void endsAStreamWithAnErrorEventWhenNoEngineCanResumeIt() throws Exception {
        deployment.faultOnEngines("BREAK_AFTER_TOKENS", 1);

        ChatPrompt.Transcript stream =
                ChatPrompt.read(deployment.stream(0, KEY, new ChatPrompt("broken", 50).body(true))
                        .body());

        assertThat(stream.end().toString()).isEmpty();
        assertThat(stream.error().toString())
                .contains("\"code\":\"backend_failed\"")
                .contains("\"not_run\":false");
    }

    @ParameterizedTest
    @CsvSource({"CROSSED,1", "LATE_MILLIS,1500"})
    void discardsMisdeliveredAndLateAnswersOfServices(String fault, double amount) throws Exception {
        int faulty = deployment.ledgerPorts().get(0);
        deployment.fault(faulty, fault, amount);
        Map<String, String> headers = Map.of("Authorization", "Bearer " + KEY, "X-Call-Id", "own-call");

        for (int call = 0; call < 4; call++) {
            HttpResponse<String> answer = InProcessDeployment.request(
                    deployment.gatewayPort(0), "GET", "/services/ledger/hauls/" + call, headers, "");
            assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
            assertThat(answer.body()).contains("/ledger/hauls/" + call).contains("own-call");
        }
    }

    private static long startedOnAll() throws Exception {
        long sum = 0;
        for (int port : deployment.enginePorts()) {
            sum += deployment.engineCounts(port).started();
        }
        return sum;
    }
}
