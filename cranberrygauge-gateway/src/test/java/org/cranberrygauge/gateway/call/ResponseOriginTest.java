package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Request;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.api.Test;

/** Guards against responses that answer an earlier call of their connection (issue 53). */
class ResponseOriginTest {

    private static final String NAMED = "X-Attempt-Id: ";

    /** The response that a server repeats, by the thread of its connection. */
    private final Map<Thread, String> earlier = new ConcurrentHashMap<>();

    /** Guards against a refusal of an earlier call that is told to the caller of a call that ran (REFUSED). */
    @Test
    void anEarlierRefusalWrittenAgainIsNotTheAnswerToACallThatRunsAtMostOnce() throws Exception {
        try (RawServer server = new RawServer(this::repeatUnnamed);
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", "/once/refused", "key-1", "")).startsWith("HTTP/1.1 503");
            assertThat(bench.ask("POST", "/once/ran", "key-2", ""))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("own answer to /once/ran");
            assertThat(bench.outcomes())
                    .last()
                    .satisfies(outcome -> assertThat(outcome.body()).isEqualTo("own answer to /once/ran"));
        }
    }

    /** Guards against a call that must run once and gets the connection of a call that may be repeated. */
    @Test
    void anEarlierAnswerToARepeatableCallIsNotTheAnswerToACallThatRunsAtMostOnce() throws Exception {
        try (RawServer server = new RawServer(this::repeatWithoutName);
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("GET", "/safe/first", "", "")).endsWith("own answer to /safe/first");
            assertThat(bench.ask("POST", "/once/ran", "", "")).endsWith("own answer to /once/ran");
        }
    }

    /** Guards against the answer of one caller that another caller gets from a server that names no attempt. */
    @Test
    void anEarlierAnswerWrittenAgainIsNotTheAnswerToARepeatableCall() throws Exception {
        try (RawServer server = new RawServer(this::repeatUnnamed);
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 6; call++) {
                assertThat(bench.ask("GET", "/safe/" + call, "", "")).endsWith("own answer to /safe/" + call);
            }
        }
    }

    /** Guards against a second copy that lost the name of the attempt that the first one bore. */
    @Test
    void anEarlierAnswerWrittenAgainWithoutItsNameIsNotTheAnswerToARepeatableCall() throws Exception {
        try (RawServer server = new RawServer(this::repeatWithoutName);
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 6; call++) {
                assertThat(bench.ask("GET", "/safe/" + call, "", "")).endsWith("own answer to /safe/" + call);
            }
        }
    }

    /** Guards against the tokens of one caller in the stream of another (MIXED). */
    @Test
    void anEarlierStreamWrittenAgainIsNotTheAnswerToAChat() throws Exception {
        try (RawServer server = new RawServer(this::repeatUnnamed);
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", CallBench.CHAT, "", chat("blue"))).contains("answer to blue");
            assertThat(bench.ask("POST", CallBench.CHAT, "", chat("green")))
                    .contains("answer to green", "data: [DONE]")
                    .doesNotContain("answer to blue");
        }
    }

    /** Guards against a connection that stays one response behind and fails each later call. */
    @Test
    void aConnectionThatAnsweredForAnotherAttemptIsNotUsedAgain() throws Exception {
        try (RawServer server = new RawServer(this::repeatNamed);
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 6; call++) {
                assertThat(bench.ask("GET", "/safe/" + call, "", "")).endsWith("own answer to /safe/" + call);
            }
            assertThat(server.requests())
                    .allSatisfy(request -> assertThat(request.number()).isLessThanOrEqualTo(2));
        }
    }

    /** Guards against a rule that servers which never name an attempt can't meet. */
    @Test
    void aServerThatNamesNoAttemptServesEachCallAtOnce() throws Exception {
        try (RawServer server = new RawServer(request -> keep(answer(request, "")));
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 50; call++) {
                assertThat(bench.ask("GET", "/safe/" + call, "", "")).endsWith("own answer to /safe/" + call);
            }
            assertThat(server.requests())
                    .hasSize(50)
                    .allSatisfy(request -> assertThat(request.number()).isEqualTo(1));
        }
    }

    /** Guards against connections that are never used again although each response names its attempt. */
    @Test
    void aConnectionWhoseResponsesNameTheirAttemptsIsUsedAgain() throws Exception {
        try (RawServer server = new RawServer(request -> keep(answer(request, NAMED + request.attempt() + "\r\n")));
                CallBench bench = new CallBench(server)) {
            for (int call = 0; call < 5; call++) {
                assertThat(bench.ask("GET", "/safe/" + call, "", "")).endsWith("own answer to /safe/" + call);
            }
            assertThat(server.requests()).extracting(Request::number).containsExactly(1, 2, 3, 4, 5);
        }
    }

    private Response repeatUnnamed(Request request) {
        return repeat(request, answer(request, ""), answer(request, ""));
    }

    private Response repeatWithoutName(Request request) {
        return repeat(request, answer(request, NAMED + request.attempt() + "\r\n"), answer(request, ""));
    }

    private Response repeatNamed(Request request) {
        String named = answer(request, NAMED + request.attempt() + "\r\n");
        return repeat(request, named, named);
    }

    /** Answers the first request of a connection, and writes a copy of that response before those to all others. */
    private Response repeat(Request request, String response, String copy) {
        if (request.number() == 1) {
            earlier.put(Thread.currentThread(), copy);
            return keep(response);
        }
        return keep(earlier.get(Thread.currentThread()) + response);
    }

    private static Response keep(String bytes) {
        return new Response(bytes, End.KEEP);
    }

    private static String answer(Request request, String header) {
        if (request.path().equals(CallBench.CHAT)) {
            String text = request.text().contains("blue") ? "answer to blue" : "answer to green";
            String events = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text
                    + "\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
            return "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + events.length() + "\r\n\r\n" + events;
        }
        boolean refused = request.path().endsWith("/refused");
        String body = refused ? "not run, try again" : "own answer to " + request.path();
        return "HTTP/1.1 " + (refused ? "503 Service Unavailable" : "200 OK") + "\r\n" + header + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static String chat(String prompt) {
        return "{\"model\":\"model\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt
                + "\"}]}";
    }
}
