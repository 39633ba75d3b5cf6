package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a gateway that keeps bytes without end of a server in trouble until its memory is used up (issue 65). */
class EndlessServiceResponseTest {

    /** More than the gateway keeps of the responses to one call, and the sockets of their connections. */
    private static final long MAXIMUM_BYTES = 128L << 20;

    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    private static final String REPEATED = "x".repeat(64 << 10);

    private static final String COMPLETION =
            "{\"model\":\"model\",\"stream\":false,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";

    private static final String STREAM = COMPLETION.replace("false", "true");

    private static final String TOKEN =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + REPEATED + "\"}}]}\n\n";

    private static final String FINISH =
            "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

    /** The tokens of a stream that is longer than the sockets between its server and its caller hold. */
    private static final int TOKENS = 1_000;

    /** How often the event loops read until a server that could write on has. */
    private static final int SETTLING_ROUNDS = 100;

    /** More calls than the gateway has memory for whole responses. */
    private static final int CALLS_AT_ONCE = 12;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 ",
                STATUS_LINE,
                STATUS_LINE + "X-Odd: ",
                STATUS_LINE + "Content-Length: 5\r\nX-Odd: "
            })
    void aHeadWithoutEndIsNoAnswer(String start) throws Exception {
        assertNoAnswer(start, REPEATED);
        assertNoAnswer(start, "X-Odd: 1\r\n".repeat(1_000));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                "Content-Length: 9223372036854775807\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
            })
    void aBodyWithoutEndIsNoAnswer(String headEnd) throws Exception {
        assertNoAnswer(STATUS_LINE + headEnd, REPEATED);
    }

    /** Guards against a completion that is collected although it never ends. */
    @ParameterizedTest
    @ValueSource(strings = {"content\":\"", "tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\""})
    void aCompletionWithoutEndIsNoAnswer(String delta) throws Exception {
        String end = delta.startsWith("content") ? "\"" : "\"}}]";
        String event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"" + delta + REPEATED + end + "}}]}\n\n";
        try (RawServer server =
                        new RawServer(request -> new Response(List.of(STATUS_LINE + "\r\n", event), End.REPEAT));
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", CallBench.CHAT, "", COMPLETION))
                    .startsWith("HTTP/1.1 502")
                    .contains("response too long");
            assertThat(server.repeatedBytes()).isLessThan(MAXIMUM_BYTES);
        }
    }

    /** Guards against a stream without end that is kept while its caller reads nothing. */
    @Test
    void aStreamIsReadNoFasterThanItsCallerReadsIt() throws Exception {
        try (RawServer server =
                        new RawServer(request -> new Response(List.of(STATUS_LINE + "\r\n", TOKEN), End.REPEAT));
                CallBench bench = new CallBench(server);
                Socket caller = bench.open(CallBench.CHAT, STREAM)) {
            assertThat(caller.getInputStream().read()).isEqualTo('H');
            long before;
            do {
                before = server.repeatedBytes();
                settle(bench);
            } while (server.repeatedBytes() > before);
            assertThat(server.repeatedBytes()).isLessThan(MAXIMUM_BYTES);
        }
    }

    /** Guards against a server that counts as silent, and a stream that is lost, since its caller reads late. */
    @Test
    void aStreamWhoseCallerReadsLaterThanTheTimeoutArrivesWhole() throws Exception {
        List<String> packets = new ArrayList<>(Collections.nCopies(TOKENS, TOKEN));
        packets.add(0, STATUS_LINE + "Connection: close\r\n\r\n");
        packets.add(FINISH);
        try (RawServer server = new RawServer(request -> new Response(packets, End.CLOSE));
                CallBench bench = new CallBench(server);
                Socket caller = bench.open(CallBench.CHAT, STREAM)) {
            long readsAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * CallBench.BACKEND_TIMEOUT_MILLIS);
            while (System.nanoTime() < readsAtNanos) {
                settle(bench);
            }
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(answer.substring(0, 200)).startsWith("HTTP/1.1 200");
            assertThat(answer.split(REPEATED, -1)).hasSize(TOKENS + 1);
            assertThat(answer.substring(answer.length() - 200)).contains("data: [DONE]");
            assertThat(server.requests()).hasSize(1);
        }
    }

    private static void settle(CallBench bench) throws Exception {
        for (int round = 0; round < SETTLING_ROUNDS; round++) {
            bench.settle();
        }
    }

    /** Guards against an event that is kept while it grows. */
    @ParameterizedTest
    @ValueSource(strings = {"", "data: ", ": "})
    void anEventWithoutEndIsNoAnswer(String start) throws Exception {
        try (RawServer server = new RawServer(
                        request -> new Response(List.of(STATUS_LINE + "\r\n" + start, REPEATED), End.REPEAT));
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", CallBench.CHAT, "", COMPLETION)).startsWith("HTTP/1.1 502");
            assertThat(server.repeatedBytes()).isLessThan(MAXIMUM_BYTES);
        }
    }

    /** Guards against a sound response that is lost while others without end use up the memory. */
    @Test
    void aSoundCallIsAnsweredBesideResponsesWithoutEnd() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        try (RawServer server = new RawServer(request -> request.path().endsWith("sound")
                        ? new Response(
                                STATUS_LINE + "Content-Length: " + REPEATED.length() + "\r\n\r\n" + REPEATED, End.KEEP)
                        : new Response(List.of(STATUS_LINE + "\r\n", REPEATED), End.REPEAT));
                CallBench bench = new CallBench(server)) {
            List<Future<String>> endless = new ArrayList<>();
            for (int call = 0; call < CALLS_AT_ONCE; call++) {
                endless.add(callers.submit(() -> bench.ask("POST", "/once/x", "", "")));
            }
            for (int call = 0; call < CALLS_AT_ONCE; call++) {
                assertThat(bench.ask("POST", "/once/sound", "", ""))
                        .startsWith("HTTP/1.1 200")
                        .endsWith(REPEATED);
            }
            for (Future<String> answer : endless) {
                assertThat(answer.get(30, TimeUnit.SECONDS)).startsWith("HTTP/1.1 409");
            }
        } finally {
            callers.shutdown();
        }
    }

    private static void assertNoAnswer(String start, String repeated) throws Exception {
        try (RawServer server = new RawServer(request -> new Response(List.of(start, repeated), End.REPEAT));
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", "/once/x", "key", "").substring(0, 200))
                    .startsWith("HTTP/1.1 409")
                    .contains("outcome_unknown");
            assertThat(server.repeatedBytes()).isLessThan(MAXIMUM_BYTES);
        }
    }
}
