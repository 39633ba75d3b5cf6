package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cranberrygauge.emulator.engine.EngineCounts;
import org.cranberrygauge.emulator.engine.TokenText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BadInputTest {

    private static final String KEY = InProcessConfiguration.KEY;

    private static InProcessDeployment deployment;

    @BeforeAll
    static void start() throws Exception {
        deployment = new InProcessDeployment(InProcessDeployment.DeploymentOptions.of(1, 1, 1)
                .withSettings("--body-timeout-millis=200", "--body-limit-bytes=20000", "--header-limit-bytes=4096"));
    }

    @AfterAll
    static void stop() throws Exception {
        deployment.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "null",
                "7",
                "\"text\"",
                "{\"model\":\"amber-large\"}",
                "{\"model\":7,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
                "{\"model\":null,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
                "{\"model\":\"amber-large\",\"messages\":[]}",
                "{\"model\":\"amber-large\",\"messages\":[null]}",
                "{\"model\":\"amber-large\",\"messages\":[\"a\"]}",
                "{\"model\":\"amber-large\",\"messages\":{\"role\":\"user\"}}",
                "{\"model\":\"amber-large\",\"stream\":\"yes\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
                "{\"model\":\"amber-large\",\"max_tokens\":\"a\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
                "{\"model\":\"amber-large\",\"max_tokens\":-1,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
                "{\"model\":\"amber-large\",\"n\":2,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}"
            })
    void refusesABodyThatIsNoCompletionRequest(String body) throws Exception {
        assertRefused(deployment.chat(0, KEY, body), 400, "invalid_request");
    }

    @Test
    void refusesAnUnknownModel() throws Exception {
        String body = new ChatPrompt("a", 1).json().put("model", "no-such").encode();

        assertRefused(deployment.chat(0, KEY, body), 404, "not_found");
    }

    @Test
    void refusesAnUnknownKeyAndAMissingOne() throws Exception {
        String body = new ChatPrompt("a", 1).body(false);

        assertRefused(deployment.chat(0, "no-such-key", body), 401, "invalid_key");
        assertRefused(
                InProcessDeployment.request(deployment.gatewayPort(0), "POST", "/v1/chat/completions", Map.of(), body),
                401,
                "invalid_key");
    }

    @Test
    void refusesAClassThatTheCustomerMayNotUse() throws Exception {
        HttpResponse<String> answer = InProcessDeployment.request(
                deployment.gatewayPort(0),
                "POST",
                "/v1/chat/completions",
                Map.of("Authorization", "Bearer " + InProcessConfiguration.OTHER_KEY, "X-Service-Class", "study"),
                new ChatPrompt("a", 1).body(false));

        assertRefused(answer, 403, "forbidden");
    }

    @Test
    void refusesABodyOverTheLimit() throws Exception {
        String body = new ChatPrompt("x".repeat(30_000), 1).body(false);

        assertRefused(deployment.chat(0, KEY, body), 413, "too_large");
    }

    @Test
    void refusesABodyOverTheLimitWhoseLengthIsNotStated() throws Exception {
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        String chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n";

        assertThat(raw(head + chunk + chunk)).startsWith("HTTP/1.1 413").contains("\"not_run\":true");
    }

    @Test
    void refusesAHeaderOverTheLimit() throws Exception {
        String head = "GET /v1/models HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(5_000) + "\r\n\r\n";

        assertThat(raw(head))
                .startsWith("HTTP/1.1 413")
                .contains("\"code\":\"too_large\"")
                .contains("\"not_run\":true");
    }

    @Test
    void refusesAMalformedRequestLine() throws Exception {
        assertThat(raw("this is no request\r\n\r\n"))
                .contains(" 400 Bad Request")
                .contains("\"not_run\":true");
    }

    @Test
    void refusesACallerThatSendsItsBodyTooSlowly() throws Exception {
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{";

        assertThat(raw(head)).startsWith("HTTP/1.1 408").contains("\"not_run\":true");
    }

    @ParameterizedTest
    @ValueSource(strings = {"/v1/none", "/services/none", "/services", "/", "*"})
    void refusesAnUnknownPath(String path) throws Exception {
        assertThat(raw("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
                .startsWith("HTTP/1.1 404")
                .contains("\"not_run\":true");
    }

    @Test
    void refusesAKeyInTheQueryOrTheBody() throws Exception {
        Map<String, String> headers = Map.of("Authorization", "Bearer " + KEY);
        String escaped = new ChatPrompt(KEY, 1).body(false).replace(KEY, "\\u006b" + KEY.substring(1));

        assertRefused(deployment.chat(0, KEY, new ChatPrompt(KEY, 1).body(false)), 400, "invalid_request");
        assertRefused(deployment.chat(0, KEY, escaped), 400, "invalid_request");
        assertRefused(
                InProcessDeployment.request(
                        deployment.gatewayPort(0), "GET", "/services/ledger/hauls?key=" + KEY, headers, ""),
                400,
                "invalid_request");
        assertRefused(
                InProcessDeployment.request(
                        deployment.gatewayPort(0),
                        "GET",
                        "/services/ledger/hauls?key=%6b" + KEY.substring(1),
                        headers,
                        ""),
                400,
                "invalid_request");
    }

    @Test
    void passesNeitherKeysNorCookiesNorHopByHopHeadersToBackendServers() throws Exception {
        Map<String, String> headers = Map.of(
                "Authorization", "Bearer " + KEY,
                "Cookie", "session=" + KEY,
                "X-Forwarded-For", "10.0.0.1",
                "Proxy-Authorization", "Basic " + KEY,
                "X-Api-Key", KEY);
        int port = deployment.gatewayPort(0);

        assertThat(InProcessDeployment.request(
                                port, "POST", "/v1/chat/completions", headers, new ChatPrompt("a", 1).body(false))
                        .statusCode())
                .isEqualTo(200);
        assertThat(InProcessDeployment.request(port, "GET", "/services/ledger/hauls", headers, "")
                        .statusCode())
                .isEqualTo(200);

        EngineCounts engine = deployment.engineCounts(deployment.enginePorts().get(0));
        assertThat(engine.credentials()).containsExactly("Bearer cranberrygauge");
        assertThat(engine.headers()).doesNotContain("cookie", "x-forwarded-for", "proxy-authorization", "x-api-key");
        var ledger = deployment.ledgerCounts(deployment.ledgerPorts().get(0));
        assertThat(ledger.credentials()).containsExactly("Bearer cranberrygauge");
        assertThat(ledger.headers()).doesNotContain("cookie", "x-forwarded-for", "proxy-authorization", "x-api-key");
    }

    @Test
    void cancelsTheEngineRequestWhenTheCallerDisconnects() throws Exception {
        int engine = deployment.enginePorts().get(0);
        long before = deployment.engineCounts(engine).cancelled();
        String body = new ChatPrompt("vanishing", 100_000).body(true);
        try (Socket socket = new Socket(InProcessDeployment.HOST, deployment.gatewayPort(0))) {
            String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + KEY
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            readUntil(socket.getInputStream(), "data: ");
        }

        Await.until("the engine cancels", () -> deployment.engineCounts(engine).cancelled() == before + 1);
        assertThat(deployment.engineCounts(engine).running()).isZero();
    }

    @Test
    void servesATypicalStreamingRequest() throws Exception {
        JsonArray parts = new JsonArray()
                .add(new JsonObject().put("type", "text").put("text", "one "))
                .add(new JsonObject().put("type", "text").put("text", "two"));
        JsonObject body = new ChatPrompt("", 3)
                .json()
                .put("stream", true)
                .put("stream_options", new JsonObject().put("include_usage", true))
                .put("temperature", 0.7)
                .putNull("max_tokens")
                .putNull("stop")
                .put("tools", new JsonArray().add(new JsonObject().put("type", "function")))
                .put(
                        "messages",
                        new JsonArray().add(new JsonObject().put("role", "user").put("content", parts)));

        HttpResponse<String> answer = deployment.chat(0, KEY, body.encode());

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.headers().firstValue("Content-Type")).contains("text/event-stream");
        assertThat(answer.body()).contains("\"completion_tokens\":3").endsWith("data: [DONE]\n\n");
    }

    @Test
    void omitsUsageFromAStreamUnlessRequested() throws Exception {
        assertThat(deployment.chat(0, KEY, new ChatPrompt("a", 2).body(true)).body())
                .doesNotContain("\"usage\"");
    }

    @Test
    void aggregatesToolCallsAndTheFinishReasonWithoutAStream() throws Exception {
        JsonObject calling = new ChatPrompt("a", 2).json();
        calling.getJsonObject("metadata").put("tool_call", "look_up");
        JsonObject cut = new ChatPrompt("a", 9).json().put("max_tokens", 2).putNull("stream");

        String called = deployment.chat(0, KEY, calling.encode()).body();
        String cutOff = deployment.chat(0, KEY, cut.encode()).body();

        assertThat(called).contains("\"name\":\"look_up\"").contains("\"finish_reason\":\"tool_calls\"");
        assertThat(cutOff).contains("\"finish_reason\":\"length\"").contains("\"completion_tokens\":2");
    }

    @Test
    void servesAPlainCompletion() throws Exception {
        String body = "{\"model\":\"amber-large\",\"prompt\":\"a b\",\"metadata\":{\"output_tokens\":\"2\"}}";

        HttpResponse<String> answer = InProcessDeployment.request(
                deployment.gatewayPort(0), "POST", "/v1/completions", Map.of("Authorization", "Bearer " + KEY), body);

        assertThat(new JsonObject(answer.body())
                        .getJsonArray("choices")
                        .getJsonObject(0)
                        .getString("text"))
                .isEqualTo(TokenText.answer(TokenText.digest("a b"), 2));
    }

    @Test
    void refusesAmbiguousFramingAndReadsNothingAfterIt() throws Exception {
        String smuggled = "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + KEY + "\r\n\r\n";

        String answer = raw("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + KEY
                + "\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled);

        assertThat(answer).startsWith("HTTP/1.1 400");
        assertThat(answer.indexOf("HTTP/1.1", 1)).isEqualTo(-1);
    }

    @Test
    void answersExpect100Continue() throws Exception {
        String body = new ChatPrompt("a", 1).body(false);

        String answer = raw("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + KEY
                + "\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body);

        assertThat(answer).startsWith("HTTP/1.1 100 Continue").contains("HTTP/1.1 200");
    }

    @Test
    void keepsServingAnIdleConnectionAfterARefusal() throws Exception {
        assertRefused(deployment.chat(0, KEY, "{"), 400, "invalid_request");
        assertThat(deployment.chat(0, KEY, new ChatPrompt("a", 1).body(false)).statusCode())
                .isEqualTo(200);
    }

    private static void assertRefused(HttpResponse<String> answer, int status, String code) {
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
        assertThat(InProcessDeployment.errorOf(answer).getString("code")).isEqualTo(code);
        assertThat(InProcessDeployment.errorOf(answer).getBoolean("not_run")).isTrue();
        assertThat(answer.headers().firstValue("X-Request-Id")).isPresent();
    }

    /** Sends bytes and reads until the gateway closes the connection. */
    private static String raw(String bytes) throws Exception {
        try (Socket socket = new Socket(InProcessDeployment.HOST, deployment.gatewayPort(0))) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void readUntil(InputStream input, String text) throws Exception {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(text) < 0) {
            read.append((char) input.read());
        }
    }
}
