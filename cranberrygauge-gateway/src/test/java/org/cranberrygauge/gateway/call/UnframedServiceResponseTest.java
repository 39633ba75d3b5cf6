package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.api.Test;

/** Guards against ends that callers take for complete although only a connection ended (issue 53). */
class UnframedServiceResponseTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n";

    /** Guards against a body that broke off and is framed as whole (MIXED). */
    @Test
    void aServiceResponseWithoutFramingHasNoneForItsCaller() throws Exception {
        assertUnframed(HEAD, "half a bo");
        assertUnframed(HEAD, "");
    }

    /** Guards against a transfer coding other than chunks, which shows no end, that is taken for framing. */
    @Test
    void aServiceResponseWithAnotherTransferCodingHasNoFramingForItsCaller() throws Exception {
        assertUnframed(HEAD.replace("Connection", "Transfer-Encoding: identity\r\nConnection"), "half a bo");
    }

    /** Guards against a body that broke off and is replayed as the whole answer. */
    @Test
    void theBodyOfAServiceResponseWithoutFramingIsNotKeptForReplay() throws Exception {
        try (RawServer server = new RawServer(request -> new Response(HEAD + "half a bo", End.CLOSE));
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", "/once/x", "key", "")).endsWith("\r\n\r\nhalf a bo");
            assertThat(bench.outcomes()).singleElement().satisfies(outcome -> {
                assertThat(outcome.bodyKept()).isFalse();
                assertThat(outcome.status()).isEqualTo(200);
                assertThat(outcome.body()).isEmpty();
            });
            assertThat(bench.ask("POST", "/once/x", "key", ""))
                    .startsWith("HTTP/1.1 409")
                    .contains("answer_not_kept")
                    .doesNotContain("half a bo");
            assertThat(server.requests()).hasSize(1);
        }
    }

    @Test
    void aLargeServiceResponseWithoutFramingArrivesWhole() throws Exception {
        String body = "x".repeat(8 << 20) + "end";
        try (RawServer server = new RawServer(request -> new Response(HEAD + body, End.CLOSE));
                CallBench bench = new CallBench(server)) {
            for (String path : new String[] {"/once/x", "/safe/x"}) {
                assertThat(bench.ask("POST", path, "", "").endsWith("\r\n\r\n" + body))
                        .as(path)
                        .isTrue();
            }
        }
    }

    /** Guards against a reset of a server's connection that becomes an orderly end for the caller (MIXED). */
    @Test
    void aServiceResponseWithoutFramingThatIsResetIsNoAnswer() throws Exception {
        try (RawServer server = new RawServer(request -> new Response(HEAD + "half a bo", End.RESET));
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", "/once/x", "key", ""))
                    .startsWith("HTTP/1.1 409")
                    .contains("outcome_unknown")
                    .doesNotContain("half a bo");
            assertThat(bench.ask("GET", "/safe/x", "", ""))
                    .startsWith("HTTP/1.1 502")
                    .doesNotContain("half a bo");
        }
    }

    /** Guards against sound responses that lose their framing or their replay. */
    @Test
    void aServiceResponseWithFramingKeepsItAndIsReplayed() throws Exception {
        String[] whole = {
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
        };
        for (String bytes : whole) {
            try (RawServer server = new RawServer(request -> new Response(bytes, End.KEEP));
                    CallBench bench = new CallBench(server)) {
                String first = bench.ask("POST", "/once/x", "key", "");
                assertThat(first).containsIgnoringCase("Content-Length: 5").endsWith("\r\n\r\nwhole");
                assertThat(bench.ask("POST", "/once/x", "key", ""))
                        .startsWith("HTTP/1.1 200")
                        .endsWith("\r\n\r\nwhole");
                assertThat(server.requests()).hasSize(1);
            }
        }
    }

    private static void assertUnframed(String head, String body) throws Exception {
        try (RawServer server = new RawServer(request -> new Response(head + body, End.CLOSE));
                CallBench bench = new CallBench(server)) {
            for (String path : new String[] {"/once/x", "/safe/x"}) {
                assertThat(bench.askUntilClose("POST", path))
                        .startsWith("HTTP/1.1 200")
                        .endsWith("\r\n\r\n" + body)
                        .containsIgnoringCase("Connection: close")
                        .containsIgnoringCase("Content-Type: text/plain")
                        .doesNotContainIgnoringCase("Content-Length")
                        .doesNotContainIgnoringCase("Transfer-Encoding");
            }
        }
    }
}
