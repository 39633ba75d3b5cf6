package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Request;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that take a status, a type or a body from a copy of an earlier response, cut off at any byte (issue 59). */
class CutOffCopyTest {

    private static final String EARLIER = "/earlier";

    private static final String NEXT = "/next";

    /** The prompt of the earlier chat, which is also its text. */
    private static final String EARLIER_PROMPT = "blue";

    private static final String NEXT_PROMPT = "green";

    /** Guards against a success where the server answered an error, and the reverse, after a copy that no request waits for (MIXED). */
    @ParameterizedTest
    @CsvSource({
        "WITH_EARLIER_ANSWER, OK, LENGTH, ERROR, LENGTH",
        "WITH_EARLIER_ANSWER, OK, CHUNKS, ERROR, CHUNKS",
        "WITH_EARLIER_ANSWER, ERROR, LENGTH, OK, CHUNKS",
        "WITH_EARLIER_ANSWER, REFUSAL, CHUNKS, OK, CHUNKS",
        "WITH_EARLIER_ANSWER, OK, CHUNKS, REFUSAL, LENGTH",
        "WHILE_IDLE, OK, LENGTH, ERROR, LENGTH",
        "WHILE_IDLE, OK, CHUNKS, ERROR, CHUNKS",
        "WHILE_IDLE, ERROR, LENGTH, OK, CHUNKS",
        "WHILE_IDLE, REFUSAL, CHUNKS, OK, CHUNKS",
        "WHILE_IDLE, OK, CHUNKS, REFUSAL, LENGTH"
    })
    void aCallAfterACopyThatCameBeforeItGetsItsOwnWholeAnswer(
            Moment moment, Kind earlier, Framing earlierFraming, Kind next, Framing framing) throws Exception {
        assertThat(wrongAnswers(new CopyingServer(moment, earlier, earlierFraming, next, framing), false))
                .isEmpty();
    }

    /** Guards against a success where the server answered an error, and the reverse, after a copy in one write with the answer (MIXED). */
    @ParameterizedTest
    @CsvSource({
        "OK, LENGTH, ERROR, LENGTH",
        "OK, CHUNKS, ERROR, CHUNKS",
        "ERROR, LENGTH, OK, CHUNKS",
        "REFUSAL, CHUNKS, OK, CHUNKS",
        "OK, CHUNKS, REFUSAL, LENGTH"
    })
    void aCallWhoseAnswerFollowsACopyGetsItsOwnAnswerOrAnErrorOfTheGateway(
            Kind earlier, Framing earlierFraming, Kind next, Framing framing) throws Exception {
        CopyingServer script = new CopyingServer(Moment.WITH_NEXT_ANSWER, earlier, earlierFraming, next, framing);
        assertThat(wrongAnswers(script, true)).isEmpty();
    }

    /** Guards against the error of an earlier call that ends a chat which runs, and against the tokens of an earlier chat (MIXED). */
    @ParameterizedTest
    @CsvSource({
        "WITH_EARLIER_ANSWER, OK, OK",
        "WITH_EARLIER_ANSWER, BAD_REQUEST, OK",
        "WHILE_IDLE, OK, OK",
        "WHILE_IDLE, BAD_REQUEST, OK",
        "WITH_NEXT_ANSWER, OK, OK",
        "WITH_NEXT_ANSWER, BAD_REQUEST, OK"
    })
    void aChatAfterACopyHasItsOwnTokensOrItsOwnError(Moment moment, Kind earlier, Kind next) throws Exception {
        List<String> wrong = new ArrayList<>();
        CopyingServer script = new CopyingServer(moment, earlier, Framing.EVENTS, next, Framing.EVENTS);
        try (RawServer server = new RawServer(script::respond);
                CallBench bench = new CallBench(server)) {
            do {
                askEarlier(bench, earlier);
                script.writeWhileIdle(server);
                String answer = bench.ask("POST", CallBench.CHAT, "", chat(NEXT_PROMPT));
                boolean own = next == Kind.OK ? isWholeChat(answer) : answer.startsWith("HTTP/1.1 400");
                boolean failed = moment == Moment.WITH_NEXT_ANSWER && isGatewayError(answer);
                if (!own && !failed || answer.contains(EARLIER_PROMPT)) {
                    wrong.add(script.describe(answer));
                }
            } while (script.cutLater());
            script.assertReached(server);
        }
        assertThat(wrong).isEmpty();
    }

    /** Guards against a call that must run once and that gets the connection on which part of a copy waits. */
    @ParameterizedTest
    @EnumSource(
            value = Moment.class,
            names = {"WITH_EARLIER_ANSWER", "WHILE_IDLE"})
    void aCallThatRunsAtMostOnceGetsItsOwnWholeAnswerAfterACopy(Moment moment) throws Exception {
        CopyingServer script = new CopyingServer(moment, Kind.REFUSAL, Framing.LENGTH, Kind.OK, Framing.LENGTH);
        try (RawServer server = new RawServer(script::respond);
                CallBench bench = new CallBench(server)) {
            do {
                bench.ask("GET", CallBench.SAFE + EARLIER, "", "");
                script.writeWhileIdle(server);
                assertThat(bench.ask("POST", CallBench.ONCE + NEXT, "", "")).satisfies(Kind.OK::assertWhole);
                // Takes the connection with the copy, which would otherwise wait for the next earlier call.
                bench.ask("GET", CallBench.SAFE + NEXT, "", "");
            } while (script.cutLater());
        }
    }

    /** Guards against a copy that is whole, is noticed and fails the call after it. */
    @ParameterizedTest
    @EnumSource(
            value = Moment.class,
            names = {"WITH_EARLIER_ANSWER", "WHILE_IDLE"})
    void aWholeCopyCostsOneConnectionAndNoCall(Moment moment) throws Exception {
        CopyingServer script = new CopyingServer(moment, Kind.ERROR, Framing.LENGTH, Kind.OK, Framing.LENGTH);
        script.cut.set(Integer.MAX_VALUE);
        try (RawServer server = new RawServer(script::respond);
                CallBench bench = new CallBench(server)) {
            bench.ask("GET", CallBench.SAFE + EARLIER, "", "");
            script.writeWhileIdle(server);
            assertThat(bench.ask("GET", CallBench.SAFE + NEXT, "", "")).satisfies(Kind.OK::assertWhole);
            assertThat(server.requests()).extracting(Request::number).containsExactly(1, 1);
        }
    }

    /** Guards against a rule that takes a head which arrives in several packets for a cut one. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void aHeadInManyPacketsIsServedAndItsConnectionIsKept(Framing framing) throws Exception {
        try (RawServer server = new RawServer(request -> new Response(
                        framing.whole(Kind.OK, request.attempt(), NEXT_PROMPT)
                                .chars()
                                .mapToObj(Character::toString)
                                .toList(),
                        End.KEEP));
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 5; call++) {
                assertWholeAnswer(bench, framing);
            }
            assertThat(server.requests()).extracting(Request::number).containsExactly(1, 2, 3, 4, 5);
        }
    }

    /** Guards against a rule that takes a header which mentions a protocol for a joined one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Via: HTTP/1.1 proxy",
                "Via: 1.1 a, HTTP/1.1 b.example (HTTP/1.1)",
                "Upgrade: HTTP/2.0",
                "Server: server HTTP/1.1"
            })
    void aHeaderThatMentionsAProtocolIsServedAndItsConnectionIsKept(String header) throws Exception {
        try (RawServer server = new RawServer(request -> withHeader(header, request));
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 5; call++) {
                assertWholeAnswer(bench, Framing.LENGTH);
            }
            assertThat(server.requests()).extracting(Request::number).containsExactly(1, 2, 3, 4, 5);
        }
    }

    /** Guards against the same where it holds a whole status line, which may cost a connection and no call. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Upstream-Status: HTTP/1.1 500 Internal Server Error",
                "X-Note: the upstream said HTTP/1.1 500 Internal Server Error"
            })
    void aHeaderThatHoldsAStatusLineIsServed(String header) throws Exception {
        try (RawServer server = new RawServer(request -> withHeader(header, request));
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 5; call++) {
                assertWholeAnswer(bench, Framing.LENGTH);
            }
            assertThat(server.requests()).hasSize(5);
        }
    }

    private static Response withHeader(String header, Request request) {
        return new Response(
                Framing.LENGTH
                        .whole(Kind.OK, request.attempt(), NEXT_PROMPT)
                        .replaceFirst("\r\n", "\r\n" + header + "\r\n"),
                End.KEEP);
    }

    /** Guards against a rule that takes line ends between two responses for the start of one. */
    @Test
    void emptyLinesBeforeAResponseArePartOfNone() throws Exception {
        try (RawServer server = new RawServer(request -> new Response(
                        "\r\n" + Framing.LENGTH.whole(Kind.OK, request.attempt(), NEXT_PROMPT), End.KEEP));
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 5; call++) {
                assertWholeAnswer(bench, Framing.LENGTH);
            }
        }
    }

    /** Makes the call before a chat. One that fails is a plain call, since the connection of a failed chat is closed. */
    private static void askEarlier(CallBench bench, Kind earlier) throws Exception {
        if (earlier == Kind.OK) {
            bench.ask("POST", CallBench.CHAT, "", chat(EARLIER_PROMPT));
        } else {
            bench.ask("GET", CallBench.SAFE + EARLIER, "", "");
        }
    }

    private static boolean isWholeChat(String answer) {
        return answer.startsWith("HTTP/1.1 200")
                && answer.contains("\"content\":\"" + NEXT_PROMPT + "\"")
                && answer.contains("data: [DONE]");
    }

    private static void assertWholeAnswer(CallBench bench, Framing framing) throws Exception {
        if (framing == Framing.EVENTS) {
            assertThat(bench.ask("POST", CallBench.CHAT, "", chat(NEXT_PROMPT)))
                    .satisfies(
                            answer -> assertThat(isWholeChat(answer)).as(answer).isTrue());
        } else {
            assertThat(bench.ask("GET", CallBench.SAFE + NEXT, "", "")).satisfies(Kind.OK::assertWhole);
        }
    }

    /** Returns the wrong answers of all calls that follow a copy, cut at each byte. */
    private static List<String> wrongAnswers(CopyingServer script, boolean mayFail) throws Exception {
        List<String> wrong = new ArrayList<>();
        try (RawServer server = new RawServer(script::respond);
                CallBench bench = new CallBench(server)) {
            do {
                bench.ask("GET", CallBench.SAFE + EARLIER, "", "");
                script.writeWhileIdle(server);
                String answer = bench.ask("GET", CallBench.SAFE + NEXT, "", "");
                if (!script.next.isWhole(answer) && !(mayFail && isGatewayError(answer))) {
                    wrong.add(script.describe(answer));
                }
            } while (script.cutLater());
            script.assertReached(server);
        }
        return wrong;
    }

    /** Tells whether an answer is the gateway's own statement that the server failed. */
    private static boolean isGatewayError(String answer) {
        return answer.startsWith("HTTP/1.1 502") && answer.contains("\"backend_failed\"");
    }

    private static String chat(String prompt) {
        return "{\"model\":\"model\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt
                + "\"}]}";
    }

    /** When a copy is written. */
    private enum Moment {
        WITH_EARLIER_ANSWER,
        WHILE_IDLE,
        WITH_NEXT_ANSWER
    }

    /** A response; its type and body are found in no other kind. With a line in its body no client waits for the end of a chunk's size. */
    private enum Kind {
        OK("200 OK", "text/ok", "done"),
        ERROR("500 Internal Server Error", "text/error", "broke while it ran"),
        BAD_REQUEST("400 Bad Request", "text/bad", "cannot be read"),
        REFUSAL("503 Service Unavailable", "text/refusal", "not run, try again\n");

        private final String status;

        private final String type;

        private final String body;

        Kind(String status, String type, String body) {
            this.status = status;
            this.type = type;
            this.body = body;
        }

        /** Tells whether a caller's answer is this response, with nothing of another one. */
        boolean isWhole(String answer) {
            return answer.startsWith("HTTP/1.1 " + status.substring(0, 3) + " ")
                    && answer.toLowerCase(Locale.ROOT).contains("\r\ncontent-type: " + type + "\r\n")
                    && answer.endsWith("\r\n\r\n" + body);
        }

        void assertWhole(String answer) {
            assertThat(isWhole(answer)).as(answer).isTrue();
        }
    }

    /** How the end of a body is told. */
    private enum Framing {
        LENGTH,
        CHUNKS,
        EVENTS;

        /** Returns a response that ends its head with the name of the attempt. */
        String whole(Kind kind, String attempt, String prompt) {
            String body = this == EVENTS && kind == Kind.OK ? events(prompt) : kind.body;
            String ending = "Keep-Alive: timeout=60\r\nX-Attempt-Id: " + attempt + "\r\n\r\n";
            String head = "HTTP/1.1 " + kind.status + "\r\nContent-Type: " + kind.type + "\r\n";
            return this == LENGTH
                    ? head + "Content-Length: " + body.length() + "\r\n" + ending + body
                    : head + "Transfer-Encoding: chunked\r\n" + ending + Integer.toHexString(body.length()) + "\r\n"
                            + body + "\r\n0\r\n\r\n";
        }

        private static String events(String text) {
            return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text
                    + "\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
        }
    }

    /** Answers earlier calls, and writes part of that answer once more. Used by one call after the other. */
    private static final class CopyingServer {

        /** The number of bytes of the copy that are written. */
        private final AtomicInteger cut = new AtomicInteger(1);

        /** The number of answers that were written behind a copy. */
        private final AtomicInteger joined = new AtomicInteger();

        private final Moment moment;

        private final Kind earlier;

        private final Framing earlierFraming;

        private final Kind next;

        private final Framing framing;

        /** The answer to the earlier call. */
        private volatile String whole = "";

        CopyingServer(Moment moment, Kind earlier, Framing earlierFraming, Kind next, Framing framing) {
            this.moment = moment;
            this.earlier = earlier;
            this.earlierFraming = earlierFraming;
            this.next = next;
            this.framing = framing;
        }

        Response respond(Request request) {
            boolean isEarlier =
                    request.text().contains(EARLIER) || request.text().contains(EARLIER_PROMPT);
            if (isEarlier) {
                whole = earlierFraming.whole(earlier, request.attempt(), EARLIER_PROMPT);
                return new Response(whole + (moment == Moment.WITH_EARLIER_ANSWER ? copy() : ""), End.KEEP);
            }
            boolean joins = moment == Moment.WITH_NEXT_ANSWER && request.number() > 1;
            if (joins) {
                joined.incrementAndGet();
            }
            return new Response((joins ? copy() : "") + framing.whole(next, request.attempt(), NEXT_PROMPT), End.KEEP);
        }

        void writeWhileIdle(RawServer server) throws Exception {
            if (moment == Moment.WHILE_IDLE) {
                server.writeUnasked(copy());
            }
        }

        /** Cuts the next copy one byte later. Returns false after one that was whole. */
        boolean cutLater() {
            return cut.incrementAndGet() <= whole.length();
        }

        /** Guards against a run in which no copy was joined to an answer. */
        void assertReached(RawServer server) {
            if (moment == Moment.WITH_NEXT_ANSWER) {
                assertThat(joined).hasValue(whole.length());
            } else {
                assertThat(server.requests()).hasSizeGreaterThanOrEqualTo(2 * whole.length());
            }
        }

        String describe(String answer) {
            return "after " + copy().replace("\r\n", "|") + ": " + answer.replace("\r\n", "|") + "\n";
        }

        private String copy() {
            return whole.substring(0, Math.min(cut.get(), whole.length()));
        }
    }
}
