package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.api.Test;

/**
 * Guards against the end of a connection that is taken for the end of a response while the call is still being written
 * (issue 65).
 */
class EarlyServiceResponseTest {

    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of i";

    /** More than the send buffer of a kernel holds, so that the gateway still writes when the response comes. */
    private static final String UPLOAD = "u".repeat(12 << 20);

    /** Guards against a part of a body that counts as whole, and is kept as the outcome of a call that runs at most once. */
    @Test
    void aServiceResponseWhoseConnectionIsResetWithinTheCallIsNoAnswer() throws Exception {
        try (RawServer server = RawServer.readingHeadsOnly(request -> new Response(UNFRAMED, End.RESET));
                CallBench bench = new CallBench(server)) {
            server.beforeEnd(bench::settle);
            assertThat(bench.ask("POST", "/once/x", "key", UPLOAD))
                    .startsWith("HTTP/1.1 409")
                    .contains("outcome_unknown")
                    .doesNotContain("part of i");
            assertThat(bench.ask("PUT", "/safe/x", "", UPLOAD))
                    .startsWith("HTTP/1.1 502")
                    .doesNotContain("part of i");
        }
    }

    @Test
    void aServiceThatRejectsACallEarlyIsHeard() throws Exception {
        String rejection = "HTTP/1.1 413 Too Large\r\nContent-Length: 8\r\n\r\ntoo long";
        try (RawServer server = RawServer.readingHeadsOnly(request -> new Response(rejection, End.RESET));
                CallBench bench = new CallBench(server)) {
            server.beforeEnd(bench::settle);
            assertThat(bench.ask("POST", "/once/x", "key", UPLOAD))
                    .startsWith("HTTP/1.1 413")
                    .endsWith("\r\n\r\ntoo long");
        }
    }
}
