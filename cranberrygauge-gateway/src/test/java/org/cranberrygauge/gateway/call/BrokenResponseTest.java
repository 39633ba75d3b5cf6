package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Request;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that stopped and are told to callers as whole (issue 53). */
class BrokenResponseTest {

    private static final Pattern TOKEN = Pattern.compile("\"content\":\"(t\\d)\"");

    private static final Pattern RESUMED = Pattern.compile("\"resume_from\":(\\d+)");

    private static final Pattern CUT = Pattern.compile("cut=(\\d+)");

    private static final String LENGTH = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\nContent-Length: 5\r\n\r\nwhole";

    private static final String CHUNKS =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: @\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";

    private static final String CHUNKED_HEAD =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\nConnection: close\r\n\r\n";

    /** The text of errors, and their head, of which nothing may be in a stream. */
    private static final String ERROR =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nboom-text";

    private static final String FINISH =
            "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

    /** Guards against an empty or short 200 after a response that stopped in its head or body (MIXED). */
    @ParameterizedTest
    @EnumSource(
            value = End.class,
            names = {"CLOSE", "RESET"})
    void aCallWhoseResponseStopsAtAnyByteGetsNo200(End end) throws Exception {
        for (String whole : List.of(LENGTH, CHUNKS)) {
            AtomicInteger cut = new AtomicInteger();
            try (RawServer server = new RawServer(request -> cut(whole, request, cut.get(), end));
                    CallBench bench = new CallBench(server)) {
                for (; cut.get() < whole.length() + 8; cut.incrementAndGet()) {
                    assertThat(bench.ask("POST", "/once/x", "", ""))
                            .as("cut at %s of %s", cut, whole)
                            .startsWith("HTTP/1.1 409")
                            .contains("outcome_unknown");
                    assertThat(bench.ask("GET", "/safe/x", "", ""))
                            .as("cut at %s of %s", cut, whole)
                            .startsWith("HTTP/1.1 502");
                }
            }
        }
    }

    /** Guards against a stream whose server goes silent at any byte and that skips, repeats or ends too early (ORDER). */
    @Test
    void aChatWhoseFirstResponseHangsAtAnyByteIsResumed() throws Exception {
        String first = CHUNKED_HEAD + part(CHUNKED_HEAD, token(1)) + part(CHUNKED_HEAD, token(2));
        ExecutorService callers = Executors.newCachedThreadPool();
        try (RawServer server = new RawServer(request -> request.attempt().endsWith("-1")
                        ? cut(first, request, wantedCut(request), End.KEEP)
                        : rest(request));
                CallBench bench = new CallBench(server)) {
            List<Future<String>> streams = new ArrayList<>();
            for (int before = 0; before < first.length() + 8; before += 3) {
                String body = chat(true).replace("\"x\"", "\"cut=" + before + "\"");
                streams.add(callers.submit(() -> bench.ask("POST", CallBench.CHAT, "", body)));
            }
            for (Future<String> stream : streams) {
                String whole = stream.get(30, TimeUnit.SECONDS);
                assertThat(tokens(whole)).as(whole).containsExactly("t1", "t2", "t3");
                assertThat(whole).contains("data: [DONE]");
            }
        } finally {
            callers.shutdown();
        }
    }

    /** Guards against a stream whose server stopped at any byte and that skips, repeats or ends too early (ORDER). */
    @ParameterizedTest
    @EnumSource(
            value = End.class,
            names = {"CLOSE", "RESET"})
    void aChatWhoseFirstResponseStopsAtAnyByteIsResumed(End end) throws Exception {
        for (String head : List.of(CHUNKED_HEAD, UNFRAMED_HEAD)) {
            AtomicInteger cut = new AtomicInteger();
            String first = head + part(head, token(1)) + part(head, token(2));
            try (RawServer server = new RawServer(request ->
                            request.attempt().endsWith("-1") ? cut(first, request, cut.get(), end) : rest(request));
                    CallBench bench = new CallBench(server)) {
                for (; cut.get() < first.length() + 8; cut.incrementAndGet()) {
                    String stream = bench.ask("POST", CallBench.CHAT, "", chat(true));
                    assertThat(tokens(stream)).as("cut at %s: %s", cut, stream).containsExactly("t1", "t2", "t3");
                    assertThat(stream).contains("data: [DONE]");
                    assertThat(bench.ask("POST", CallBench.CHAT, "", chat(false)))
                            .startsWith("HTTP/1.1 200")
                            .contains("\"content\":\"t1t2t3\"");
                }
            }
        }
    }

    /** Guards against the text or head of an error in a stream, and against one that ends as complete (ORDER, MIXED). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                ERROR,
                "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\nboom-text",
                "HTTP/1.1 400 Bad Request\r\nX-Attempt-Id: @\r\nContent-Length: 9\r\n\r\nboom-text",
                UNFRAMED_HEAD + ERROR,
                UNFRAMED_HEAD + ERROR + "\n\n",
                UNFRAMED_HEAD + "\n\n" + ERROR + "\n\n" + FINISH,
                UNFRAMED_HEAD + "boom-text\n\n" + FINISH,
                UNFRAMED_HEAD + "{\"error\":\"boom-text\"}\n\n" + FINISH,
                UNFRAMED_HEAD + "data: {\"error\":\"boom-text\"}\n\n" + FINISH,
                UNFRAMED_HEAD + "event: error\ndata: {\"error\":\"boom-text\"}\n\n" + FINISH,
                UNFRAMED_HEAD + "data: [DONE]\n\n" + ERROR,
                UNFRAMED_HEAD + "data: {\"choices\":[{\"delta\":{\"content\":\"t9\"}}]}" + ERROR + "\n\n" + FINISH,
                UNFRAMED_HEAD + "data: {\"choices\":[{\"delta\":{\"content\":\"t9\"}}]}\n" + ERROR + "\n\n" + FINISH
            })
    void aBrokenStreamWhoseNextServerAnswersWithAnErrorHoldsNothingOfIt(String error) throws Exception {
        String first = UNFRAMED_HEAD + token(1);
        try (RawServer server = new RawServer(request ->
                        new Response(named(request.attempt().endsWith("-1") ? first : error, request), End.CLOSE));
                CallBench bench = new CallBench(server)) {
            String stream = bench.ask("POST", CallBench.CHAT, "", chat(true));
            assertThat(tokens(stream)).containsExactly("t1");
            assertThat(stream)
                    .contains("event: error\ndata: {\"error\":")
                    .doesNotContain("boom-text", "HTTP/1.1 50", "HTTP/1.1 400", "finish_reason\":\"stop", "[DONE]");
            assertThat(bench.ask("POST", CallBench.CHAT, "", chat(false)))
                    .doesNotStartWith("HTTP/1.1 200")
                    .doesNotContain("boom-text");
        }
    }

    /** Guards against an error that a server writes into its own stream in place of an event. */
    @ParameterizedTest
    @ValueSource(strings = {CHUNKED_HEAD, UNFRAMED_HEAD})
    void aStreamThatGoesOnWithTheHeadOfAnErrorIsBroken(String head) throws Exception {
        String first = head + part(head, token(1)) + part(head, ERROR) + part(head, "\n\n" + FINISH);
        try (RawServer server = new RawServer(request -> request.attempt().endsWith("-1")
                        ? cut(first, request, first.length() * 2, End.CLOSE)
                        : rest(request));
                CallBench bench = new CallBench(server)) {
            String stream = bench.ask("POST", CallBench.CHAT, "", chat(true));
            assertThat(tokens(stream)).containsExactly("t1", "t2", "t3");
            assertThat(stream).contains("[DONE]").doesNotContain("boom-text", "HTTP/1.1 503");
        }
    }

    /** Returns the byte before which the response to a request stops, as its caller wants it. */
    private static int wantedCut(Request request) {
        return CUT.matcher(request.text())
                .results()
                .mapToInt(match -> Integer.parseInt(match.group(1)))
                .findFirst()
                .orElseThrow();
    }

    /** Returns a response that stops before a byte; at the latest before its last one. */
    private static Response cut(String whole, Request request, int before, End end) {
        String bytes = named(whole, request);
        return new Response(bytes.substring(0, Math.min(before, bytes.length() - 1)), end);
    }

    /** Returns a whole stream from the first token that the request asks for. */
    private static Response rest(Request request) {
        StringBuilder bytes = new StringBuilder(CHUNKED_HEAD);
        int delivered = RESUMED.matcher(request.text())
                .results()
                .mapToInt(match -> Integer.parseInt(match.group(1)))
                .findFirst()
                .orElse(0);
        for (int number = delivered + 1; number <= 3; number++) {
            bytes.append(part(CHUNKED_HEAD, token(number)));
        }
        bytes.append(part(CHUNKED_HEAD, FINISH)).append("0\r\n\r\n");
        return new Response(named(bytes.toString(), request), End.KEEP);
    }

    private static String named(String response, Request request) {
        return response.replace("@", request.attempt());
    }

    /** Returns part of a body as it follows a head. */
    private static String part(String head, String text) {
        return head.equals(CHUNKED_HEAD) ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text;
    }

    private static String token(int number) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t" + number
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    private static List<String> tokens(String stream) {
        return TOKEN.matcher(stream)
                .results()
                .map((MatchResult match) -> match.group(1))
                .toList();
    }

    private static String chat(boolean stream) {
        return "{\"model\":\"model\",\"stream\":" + stream + ",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    }
}
