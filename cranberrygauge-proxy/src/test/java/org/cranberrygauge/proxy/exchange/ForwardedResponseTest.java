package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.exchange.ExchangeEvents.RequestForwarded;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses of other hosts that are passed on although they don't belong to the request, or broke off. */
class ForwardedResponseTest {

    private final Vertx vertx = Vertx.vertx();

    private ScriptedHost other;

    private ForwardingHost host;

    @BeforeEach
    void start() throws Exception {
        other = new ScriptedHost(vertx);
        host = new ForwardingHost(other.address());
    }

    @AfterEach
    void stop() throws Exception {
        host.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Guards against the answer to another request that a host passes on (MIXED). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\n\r\nwrong",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
                "Connection: close\r\n\r\nwrong"
            })
    void aResponseThatNamesAnotherRequestIsNotPassedOn(String rest) throws Exception {
        other.answer("HTTP/1.1 200 OK\r\nX-Id: another\r\n" + rest);
        assertThat(host.ask("r-1")).startsWith("HTTP/1.1 502").doesNotContain("wrong");
        assertThat(awaitEnd().detail()).isEqualTo("response names another request");
    }

    /** Guards against the statement "not run" of another request for one that may have run (REFUSED). */
    @Test
    void aRejectionThatNamesAnotherRequestIsNoStatementAboutThisOne() throws Exception {
        other.answer("HTTP/1.1 503 S\r\nX-Id: another\r\nCranberrygauge-Not-Run: 0\r\nContent-Length: 0\r\n\r\n");
        assertThat(host.ask("r-1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void responsesThatNameTheRequestOrNoneArePassedOn() throws Exception {
        other.keeps = true;
        other.answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
        assertThat(host.ask("r-1")).startsWith("HTTP/1.1 200").endsWith("right");
        other.answer("HTTP/1.1 200 OK\r\nX-Id: r-2\r\nContent-Length: 5\r\n\r\nright");
        assertThat(host.ask("r-2")).startsWith("HTTP/1.1 200").endsWith("right");
        assertThat(other.connections).hasValue(2);
    }

    /** Guards against a rejection by another host that counts as a broken connection, since it names no request. */
    @Test
    void aRejectionOnAKeptConnectionIsPassedOn() throws Exception {
        other.keeps = true;
        other.answer("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 5\r\n\r\nright");
        assertThat(host.ask("r-1")).startsWith("HTTP/1.1 200").endsWith("right");
        other.answer("HTTP/1.1 503 S\r\nCranberrygauge-Not-Run: 0\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n");
        assertThat(host.ask("r-2")).startsWith("HTTP/1.1 503").contains("0.25");
        assertThat(other.connections).hasValue(1);
    }

    /** Guards against the promise "not run" that a host passes on though nobody has stated it (REFUSED). */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 408})
    void aStatusThatPromisesMoreThanTheOtherHostHasStatedIsPassedOnOnlyToCallersThatMayRepeat(int status)
            throws Exception {
        other.answer("HTTP/1.1 " + status + " S\r\nX-Id: r-1\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nsaid");
        for (RouteKind requested : RouteKind.values()) {
            host.kind = requested;
            String answer = host.ask("r-1");
            if (requested.mayRetry()) {
                assertThat(answer).startsWith("HTTP/1.1 " + status).contains("X-Stamp: s");
            } else {
                assertThat(answer).startsWith("HTTP/1.1 502").doesNotContain("X-Stamp", "said");
            }
        }
    }

    /** Guards against a success that is framed as whole although its head broke off between two hosts (MIXED, ORDER). */
    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void noHeadThatIsCutOffBetweenTwoHostsBecomesASuccess(RouteKind requested) throws Exception {
        host.kind = requested;
        for (String framing : List.of("Content-Length: 2", "Transfer-Encoding: chunked", "Connection: close")) {
            String head = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\n" + framing + "\r\n\r\n";
            for (int length = 0; length < head.length(); length++) {
                String part = head.substring(0, length);
                other.answer(part);
                for (boolean reset : new boolean[] {false, true}) {
                    other.resets = reset;
                    assertThat(host.ask("r-1"))
                            .as(part + " reset: " + reset)
                            .doesNotStartWith("HTTP/1.1 2")
                            .doesNotStartWith("HTTP/1.1 503");
                }
            }
        }
    }

    /** Returns what was logged at the end of the only request, which is shortly after its response. */
    private RequestForwarded awaitEnd() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ForwardingHost.TIMEOUT_MILLIS);
        while (host.events.isEmpty()) {
            assertThat(System.nanoTime()).as("the end is logged in time").isLessThan(endNanos);
            Thread.onSpinWait();
        }
        return (RequestForwarded) host.events.element();
    }
}
