package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that take the path or key of one that was cut off before them at a gateway (issue 59). */
class CutOffRequestTest {

    private static final int CALLER_TIMEOUT_MILLIS = 10_000;

    private static final String OTHER = "no-such-key";

    private static final String KEY = InProcessConfiguration.KEY;

    private static final String HOST = "Host: api.example";

    private static final String AGENT = "User-Agent: caller";

    /** One rejection and nothing after it; a server that can't tell the version of a request answers with its lowest. */
    private static final Pattern REJECTION = Pattern.compile("(?s)HTTP/1\\.[01] 400 (?!.*HTTP/1\\.).*");

    private static InProcessDeployment deployment;

    @BeforeAll
    static void start() throws Exception {
        deployment = new InProcessDeployment(InProcessDeployment.DeploymentOptions.of(1, 1, 1));
    }

    @AfterAll
    static void stop() throws Exception {
        deployment.close();
    }

    /** Guards against a request that runs under the key, or at the path, of a request that was cut off in its head. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void aRequestBehindOneThatWasCutOffInItsHeadIsRejected(boolean hostFirst, boolean cutIsValid) throws Exception {
        String line = "GET /services/ledger/hauls HTTP/1.1";
        String head = String.join(
                        "\r\n",
                        line,
                        hostFirst ? HOST : AGENT,
                        "Authorization: Bearer " + (cutIsValid ? KEY : OTHER),
                        hostFirst ? AGENT : HOST)
                + "\r\n\r\n";
        String whole = request(cutIsValid ? OTHER : KEY, "Connection: close");
        List<String> wrong = new ArrayList<>();
        // A cut within the method makes another method, which no server can tell from a sound one.
        for (int cut = line.indexOf(' ') + 1; cut < head.length(); cut++) {
            String answer = send(head.substring(0, cut) + whole);
            if (!REJECTION.matcher(answer).matches()) {
                wrong.add("after " + oneLine(head.substring(0, cut)) + ": " + oneLine(answer) + "\n");
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** Guards against a request whose host another reader takes from its other Host header, as a joined head has two. */
    @Test
    void aRequestWithTwoHostsIsRejected() throws Exception {
        assertThat(send(request(KEY, HOST + "\r\nConnection: close"))).matches(REJECTION);
    }

    /** Guards against a rule that takes a header which mentions a protocol or a method for a joined one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Via: HTTP/1.1 proxy",
                "Via: 1.1 a.example, HTTP/1.1 b.example (HTTP/1.1)",
                "Upgrade: HTTP/2.0",
                "User-Agent: probe HTTP/1.1",
                "Referer: http://api.example/POST",
                "X-Note: POST and GET over HTTP/1.1 and more"
            })
    void aHeaderThatMentionsAProtocolIsServedAndItsConnectionIsKept(String header) throws Exception {
        String answers = send(request(KEY, header) + request(KEY, header + "\r\nConnection: close"));
        assertThat(answers.split("HTTP/1.1 200", -1)).hasSize(3);
    }

    private static String request(String key, String header) {
        return "GET /v1/models HTTP/1.1\r\n" + HOST + "\r\nAuthorization: Bearer " + key + "\r\n" + header + "\r\n\r\n";
    }

    private static String send(String text) throws IOException {
        try (Socket caller = new Socket(InProcessDeployment.HOST, deployment.gatewayPort(0))) {
            caller.setSoTimeout(CALLER_TIMEOUT_MILLIS);
            caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static String oneLine(String text) {
        return text.replace("\r\n", "|");
    }
}
