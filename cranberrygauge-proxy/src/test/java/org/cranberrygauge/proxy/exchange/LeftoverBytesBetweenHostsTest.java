package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an answer of another host that comes once more on a kept connection, cut off at any byte, and of which the
 * next answer becomes a part (issue 59, MIXED and REFUSED).
 */
class LeftoverBytesBetweenHostsTest {

    /** The answers that are written once more, each with the next one. */
    private static final Answer[][] SUCCESSIONS = {
        {Answer.SUCCESS, Answer.ERROR},
        {Answer.ERROR, Answer.SUCCESS},
        {Answer.REJECTION, Answer.SUCCESS},
        {Answer.SUCCESS, Answer.REJECTION}
    };

    /** The same without rejections, whose framing is always the same. */
    private static final Answer[][] RUN_SUCCESSIONS = {SUCCESSIONS[0], SUCCESSIONS[1]};

    private static final long DEADLINE_MILLIS = 3_000;

    private static final String HOST_FAILURE = "HTTP/1.1 502";

    private final Vertx vertx = Vertx.vertx();

    private final List<String> wrong = new ArrayList<>();

    private final List<String> failed = new ArrayList<>();

    private int cases;

    private int requests;

    private ScriptedHost other;

    private ForwardingHost host;

    @BeforeEach
    void start() throws Exception {
        other = new ScriptedHost(vertx);
        other.keeps = true;
        host = new ForwardingHost(other.address());
        host.deadlineMillis = DEADLINE_MILLIS;
        other.betweenWrites = host::settle;
    }

    @AfterEach
    void stop() throws Exception {
        host.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Guards against bytes that follow an answer in one write and cost the next request its answer (MIXED). */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void bytesRightAfterAnAnswerOfAnotherHostCostNoRequest(Framing framing) throws Exception {
        askPairs(framing, (first, copy, second) -> {
            assertOwn(ask(first, first.text() + copy), first);
            host.settle();
            return ask(second, second.text());
        });
        assertNoneIsWrong();
        assertNoneFailed();
    }

    /** Guards against bytes that arrive while no request is in progress and cost the next one its answer (MIXED). */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void bytesOnAnIdleConnectionToAnotherHostCostNoRequest(Framing framing) throws Exception {
        askPairs(framing, (first, copy, second) -> {
            assertOwn(ask(first, first.text()), first);
            other.write(copy);
            host.settle();
            return ask(second, second.text());
        });
        assertNoneIsWrong();
        assertNoneFailed();
    }

    /** Guards against bytes that arrive in one packet with the answer whose status line they swallow (MIXED). */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void bytesInOneWriteWithTheNextAnswerOfAnotherHostBecomeNoPartOfIt(Framing framing) throws Exception {
        askPairs(framing, (first, copy, second) -> {
            assertOwn(ask(first, first.text()), first);
            return ask(second, copy + second.text());
        });
        assertNoneIsWrong();
    }

    /** Guards against bytes that arrive after a request was passed on, and before its answer (MIXED). */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void bytesBetweenARequestToAnotherHostAndItsAnswerBecomeNoPartOfIt(Framing framing) throws Exception {
        askPairs(framing, (first, copy, second) -> {
            assertOwn(ask(first, first.text()), first);
            return ask(second, copy, second.text());
        });
        assertNoneIsWrong();
    }

    /** Guards against a new connection for each request that is passed on, and against harm to slow hosts. */
    @Test
    void theConnectionsToSoundHostsAreKept() throws Exception {
        for (Framing framing : Framing.values()) {
            host.kind = framing.kind;
            for (Answer answer : Answer.values()) {
                Written written = next(answer, framing);
                assertOwn(ask(written, written.text()), written);
                Written slow = next(answer, framing);
                assertOwn(ask(slow, slow.headInBytes()), slow);
                assertOwn(ask(written, written.text()), written);
            }
        }
        assertThat(other.connections).hasValue(1);
    }

    private void assertNoneIsWrong() {
        assertThat(wrong)
                .as("of %d next answers, %d not given to their callers", cases, failed.size())
                .isEmpty();
    }

    private void assertNoneFailed() {
        assertThat(failed).as("of %d next requests", cases).isEmpty();
    }

    /** Sends two requests on a new connection for each part of the first answer, and notes what the second one gets. */
    private void askPairs(Framing framing, Succession succession) throws Exception {
        host.kind = framing.kind;
        for (Answer[] answers : framing == Framing.LENGTH ? SUCCESSIONS : RUN_SUCCESSIONS) {
            for (int length = 1; length <= copied(answers[0], framing); length++) {
                cases++;
                Written first = next(answers[0], framing);
                Written second = next(answers[1], framing);
                String copy = first.text().substring(0, length);
                int before = other.connections.get();
                String received = succession.ask(first, copy, second);
                assertThat(other.connections.get()).isGreaterThan(before);
                note(received, "after " + copy + "| and before " + second, first, second);
                other.closeConnections();
                host.settle();
            }
        }
    }

    /** Returns the maximum length of a copy; a whole rejection names no request, and hosts write none twice. */
    private int copied(Answer answer, Framing framing) {
        int whole = next(answer, framing).text().length();
        return answer == Answer.REJECTION ? whole - 1 : whole;
    }

    private void note(String received, String description, Written first, Written second) {
        if (received.startsWith(HOST_FAILURE)) {
            failed.add(description + ": " + received);
        } else if (!second.isIn(received) || received.contains(first.id())) {
            wrong.add(description + ": " + received);
        }
    }

    private Written next(Answer answer, Framing framing) {
        return new Written(answer, String.format("h-%06d", requests++), framing);
    }

    private static void assertOwn(String received, Written written) {
        assertThat(written.isIn(received)).as("%s in %s", written, received).isTrue();
    }

    private String ask(Written written, String... writes) throws Exception {
        other.answer(writes);
        return host.ask(written.id());
    }

    /** How another host writes a part of an earlier answer once more. */
    private interface Succession {

        /**
         * Asks twice.
         *
         * @param copy The first bytes of the first answer, which are written once more.
         * @return What the caller of the second request received.
         */
        String ask(Written first, String copy, Written second) throws Exception;
    }

    /** What another host answers. */
    private enum Answer {
        SUCCESS("200 OK", ""),
        ERROR("500 Internal Server Error", ""),
        REJECTION("503 Service Unavailable", "Cranberrygauge-Not-Run: 0\r\nRetry-After: 0.25\r\n");

        private final String status;

        private final String headers;

        Answer(String status, String headers) {
            this.status = status;
            this.headers = headers;
        }
    }

    /** How an answer shows where its body ends, and which requests get it. */
    private enum Framing {
        LENGTH(RouteKind.IDEMPOTENT),
        EVENTS(RouteKind.RESUMABLE_STREAM);

        private final RouteKind kind;

        Framing(RouteKind kind) {
            this.kind = kind;
        }

        private String frame(String body) {
            return this == LENGTH
                    ? "Content-Length: " + body.length() + "\r\n\r\n" + body
                    : "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                            + "\r\n0\r\n\r\n";
        }
    }

    /**
     * The whole answer to a request.
     *
     * @param id The identifier of the request; a rejection names none.
     */
    private record Written(Answer answer, String id, Framing framing) {

        private String body() {
            return answer.status + " for " + id;
        }

        private String text() {
            String head = "HTTP/1.1 " + answer.status + "\r\n" + answer.headers + "Server: thing\r\n";
            return answer == Answer.REJECTION
                    ? head + "Content-Length: 0\r\n\r\n"
                    : head + "X-Id: " + id + "\r\nContent-Type: text/plain\r\n" + framing.frame(body());
        }

        /** Returns all bytes, of which each one of the head is by itself. */
        private String[] headInBytes() {
            int headEnd = text().indexOf("\r\n\r\n");
            List<String> writes =
                    new ArrayList<>(List.of(text().substring(0, headEnd).split("")));
            writes.add(text().substring(headEnd));
            return writes.toArray(String[]::new);
        }

        /** Tells whether a caller received the whole of this answer, and no status line but the first. */
        private boolean isIn(String received) {
            String rest = received.substring(Math.min(1, received.length()));
            boolean whole = answer == Answer.REJECTION
                    || (received.contains(body())
                            && received.toLowerCase(Locale.ROOT).contains("\r\nx-id: " + id + "\r\n"));
            return received.startsWith("HTTP/1.1 " + answer.status) && whole && !rest.contains("HTTP/1.1");
        }
    }
}
