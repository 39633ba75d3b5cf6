package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class IdleConnectionTest {

    private static InProcessDeployment deployment;

    @BeforeAll
    static void start() throws Exception {
        deployment = new InProcessDeployment(
                InProcessDeployment.DeploymentOptions.of(1, 1, 0).withSettings("--caller-idle-timeout-millis=300"));
    }

    @AfterAll
    static void stop() throws Exception {
        deployment.close();
    }

    @Test
    void closesAConnectionThatNeverCompletesAHeader() throws Exception {
        try (Socket socket = new Socket(InProcessDeployment.HOST, deployment.gatewayPort(0))) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write("GET / HTTP/1.1\r\n".getBytes(StandardCharsets.UTF_8));

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void keepsAConnectionWhoseRequestTakesLonger() throws Exception {
        ChatPrompt prompt = new ChatPrompt("long", 700);

        HttpResponse<String> answer = deployment.chat(0, InProcessConfiguration.KEY, prompt.body(false));

        assertThat(ChatPrompt.contentOf(answer)).isEqualTo(prompt.wholeAnswer());
    }
}
