package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against callers whose connection ends without an answer when a gateway stops (LOST). */
class StoppingGatewayTest {

    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    private InProcessDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new InProcessDeployment(
                InProcessDeployment.DeploymentOptions.of(1, 1, 0).withSettings("--drain-timeout-millis=500"));
    }

    @Test
    void aRequestWhoseBodyIsIncompleteAtTheEndIsRejectedAsNotRun() throws Exception {
        try (Socket caller = send("Expect: 100-continue\r\nContent-Length: 10", "{")) {
            assertThat(new String(caller.getInputStream().readNBytes(CONTINUE.length()), StandardCharsets.UTF_8))
                    .isEqualTo(CONTINUE);
            CompletableFuture<Void> stopped = stop();
            assertThat(answer(caller)).startsWith("HTTP/1.1 503").contains("\"not_run\":true");
            stopped.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void aCallThatRunsAtTheEndIsAnsweredAsOneThatMayHaveRun() throws Exception {
        String body = new ChatPrompt("long", 700).body(false);
        try (Socket caller = send("Content-Length: " + body.length(), body)) {
            int engine = deployment.enginePorts().get(0);
            Await.until("the call runs", () -> deployment.engineCounts(engine).started() > 0);
            CompletableFuture<Void> stopped = stop();
            assertThat(answer(caller)).startsWith("HTTP/1.1 503").contains("\"not_run\":false");
            stopped.get(20, TimeUnit.SECONDS);
        }
    }

    /** Stops the gateway, and what it is connected to afterwards. */
    private CompletableFuture<Void> stop() {
        return CompletableFuture.runAsync(() -> {
            try {
                deployment.close();
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        });
    }

    private Socket send(String header, String body) throws IOException {
        Socket socket = new Socket(InProcessDeployment.HOST, deployment.gatewayPort(0));
        socket.setSoTimeout(20_000);
        String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer "
                + InProcessConfiguration.KEY + "\r\nContent-Type: application/json\r\n" + header + "\r\n\r\n" + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static String answer(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
