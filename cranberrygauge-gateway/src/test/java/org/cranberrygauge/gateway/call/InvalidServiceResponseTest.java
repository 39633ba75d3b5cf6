package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response without a valid status or field name that callers get as an answer (issue 65). */
class InvalidServiceResponseTest {

    @ParameterizedTest
    @ValueSource(strings = {"000", "0", "099", "600", "999", "1000", "-200", "2x0", ""})
    void noServiceResponseWithoutAValidStatusIsAnAnswer(String status) throws Exception {
        assertNoAnswer("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X Odd: 1",
                "X\tOdd: 1",
                "X-Odd : 1",
                " X-Odd: 1",
                "Content Length: 1",
                "X\u0001Odd: 1",
                "X\u007fOdd: 1",
                ": 1",
                "X-Odd"
            })
    void noServiceResponseWithAnInvalidFieldNameIsAnAnswer(String line) throws Exception {
        assertNoAnswer("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok");
    }

    private static void assertNoAnswer(String bytes) throws Exception {
        try (RawServer server = new RawServer(request -> new Response(bytes, End.KEEP));
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", "/once/x", "key", ""))
                    .startsWith("HTTP/1.1 409")
                    .contains("outcome_unknown");
            assertThat(bench.ask("GET", "/safe/x", "", "")).startsWith("HTTP/1.1 502");
        }
    }
}
