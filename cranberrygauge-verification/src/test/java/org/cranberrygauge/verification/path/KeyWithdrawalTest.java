package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class KeyWithdrawalTest {

    private static final String CUSTOMER = "alpha";

    private static final String SPARE_KEY = InProcessConfiguration.SPARE_KEY;

    private InProcessDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new InProcessDeployment(InProcessDeployment.DeploymentOptions.of(1, 1, 1));
    }

    @AfterEach
    void stop() throws Exception {
        deployment.close();
    }

    @Test
    void endsAnOpenStreamAndCancelsItAtTheEngine() throws Exception {
        HttpResponse<Stream<String>> open = deployment.stream(0, SPARE_KEY, new ChatPrompt("long", 100_000).body(true));
        Iterator<String> lines = open.body().iterator();
        assertThat(lines.next()).startsWith("data: ");

        deployment.withdrawKey(CUSTOMER, SPARE_KEY);

        StringBuilder rest = new StringBuilder();
        lines.forEachRemaining(line -> rest.append(line).append('\n'));
        assertThat(rest.toString())
                .contains("event: error")
                .contains("\"code\":\"key_withdrawn\"")
                .contains("\"not_run\":false")
                .doesNotContain("[DONE]");
        int engine = deployment.enginePorts().get(0);
        Await.until("the engine cancels", () -> deployment.engineCounts(engine).cancelled() == 1);
        assertThat(deployment.engineCounts(engine).running()).isZero();
    }

    @Test
    void refusesANewRequestAndOneOnAnIdleConnection() throws Exception {
        try (Socket socket = new Socket(InProcessDeployment.HOST, deployment.gatewayPort(0))) {
            BufferedReader answers =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            assertThat(listModels(socket, answers)).contains(" 200 ");

            deployment.withdrawKey(CUSTOMER, SPARE_KEY);

            assertThat(listModels(socket, answers)).contains(" 401 ");
        }
        HttpResponse<String> refused = deployment.chat(0, SPARE_KEY, new ChatPrompt("a", 1).body(false));
        assertThat(refused.statusCode()).isEqualTo(401);
        assertThat(InProcessDeployment.errorOf(refused).getBoolean("not_run")).isTrue();
        assertThat(deployment
                        .chat(0, InProcessConfiguration.KEY, new ChatPrompt("a", 1).body(false))
                        .statusCode())
                .isEqualTo(200);
    }

    @Test
    void recordsTheOutcomeOfABookingThatWasInFlight() throws Exception {
        deployment.fault(deployment.ledgerPorts().get(0), "LATE_MILLIS", 500);
        CompletableFuture<HttpResponse<String>> inFlight = CompletableFuture.supplyAsync(() -> book(SPARE_KEY));
        Await.until("the ledger has the booking", () -> deployment.executions("run-1") == 1);

        deployment.withdrawKey(CUSTOMER, SPARE_KEY);

        HttpResponse<String> answer = inFlight.get();
        assertThat(answer.statusCode()).isEqualTo(401);
        assertThat(InProcessDeployment.errorOf(answer).getString("code")).isEqualTo("key_withdrawn");
        assertThat(InProcessDeployment.errorOf(answer).getBoolean("not_run")).isFalse();
        assertOutcomeIsKnown();
    }

    @Test
    void recordsTheOutcomeOfABookingWhoseCallerDisconnected() throws Exception {
        deployment.fault(deployment.ledgerPorts().get(0), "LATE_MILLIS", 500);
        try (Socket socket = new Socket(InProcessDeployment.HOST, deployment.gatewayPort(0))) {
            String request = "POST /services/ledger/bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + SPARE_KEY
                    + "\r\nIdempotency-Key: run-1\r\nX-Call-Id: run-1\r\nContent-Length: 2\r\n\r\n{}";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            Await.until("the ledger has the booking", () -> deployment.executions("run-1") == 1);
        }
        assertOutcomeIsKnown();
    }

    private void assertOutcomeIsKnown() throws Exception {
        Await.until(
                "the outcome is recorded",
                () -> book(InProcessConfiguration.KEY).statusCode() == 200);
        assertThat(book(InProcessConfiguration.KEY).body()).contains("\"executions\":1");
        assertThat(deployment.executions("run-1")).isEqualTo(1);
    }

    private HttpResponse<String> book(String key) {
        Map<String, String> headers =
                Map.of("Authorization", "Bearer " + key, "Idempotency-Key", "run-1", "X-Call-Id", "run-1");
        try {
            return InProcessDeployment.request(
                    deployment.gatewayPort(0), "POST", "/services/ledger/bookings", headers, "{}");
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Requests the list of models and returns the status line. */
    private static String listModels(Socket socket, BufferedReader answers) throws Exception {
        String request = "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + SPARE_KEY + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        String status = answers.readLine();
        int length = 0;
        for (String line = answers.readLine(); !line.isEmpty(); line = answers.readLine()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        char[] body = new char[length];
        for (int read = 0; read < length; ) {
            read += answers.read(body, read, length - read);
        }
        return status;
    }
}
