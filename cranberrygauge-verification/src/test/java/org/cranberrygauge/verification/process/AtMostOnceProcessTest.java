package org.cranberrygauge.verification.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;
import org.cranberrygauge.verification.process.Deployment.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AtMostOnceProcessTest {

    private static final String CALL = "run-1";

    @TempDir
    Path directory;

    private Deployment deployment;
    private Node ledger;
    private List<Node> gateways;

    @BeforeEach
    void start() {
        deployment = new Deployment(directory);
        ledger = deployment.ledger(1_000);
        gateways = deployment.gateways(2);
        deployment.apply("ole", deployment.configuration());
        Deployment.awaitReady(gateways);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void a_booking_that_can_not_be_reserved_in_a_log_outage_is_refused_as_not_run_and_does_not_run() {
        deployment.platformFault("log_outage", 1);
        HttpResponse<String> refused = book(0);
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("\"not_run\":true");
        assertThat(refused.headers().firstValue("Retry-After")).isPresent();
        assertThat(executions()).isZero();
        deployment.platformFault("log_outage", 0);
        Await.until("the booking runs after the outage", () -> book(0).statusCode() == 200);
        assertThat(executions()).isEqualTo(1);
    }

    @Test
    void a_booking_that_was_sent_before_a_log_outage_is_answered_and_not_run_again() {
        CompletableFuture<HttpResponse<String>> answer = sendBooking();
        deployment.platformFault("log_outage", 1);
        assertThat(answer.join().statusCode()).isEqualTo(200);
        assertThat(book(1).statusCode()).isNotEqualTo(200);
        deployment.platformFault("log_outage", 0);
        Await.until("the outcome is known to the other gateway", () -> book(1).statusCode() == 200);
        assertThat(executions()).isEqualTo(1);
        assertThat(Deployment.ledgerCounts(ledger).credentials()).noneMatch(sent -> sent.contains(Deployment.KEY));
    }

    @Test
    void a_booking_that_was_answered_before_a_log_outage_is_not_run_again() {
        assertThat(book(0).statusCode()).isEqualTo(200);
        deployment.platformFault("log_outage", 1);
        HttpResponse<String> repeated = book(1);
        assertThat(repeated.body()).doesNotContain("\"not_run\":true");
        deployment.platformFault("log_outage", 0);
        Await.until("the recorded answer", () -> book(1).statusCode() == 200);
        assertThat(executions()).isEqualTo(1);
    }

    @Test
    void a_booking_whose_gateway_is_killed_is_not_run_again_by_another() {
        CompletableFuture<HttpResponse<String>> answer = sendBooking();
        gateways.get(0).program().kill();
        assertThat(answer).failsWithin(java.time.Duration.ofSeconds(20));
        deployment.replaceGateway(0);
        for (int repeat = 0; repeat < 3; repeat++) {
            assertThat(book(1).statusCode()).isNotEqualTo(200);
        }
        assertThat(executions()).isEqualTo(1);
    }

    @Test
    void a_booking_whose_gateway_is_paused_and_resumed_runs_once() {
        CompletableFuture<HttpResponse<String>> answer = sendBooking();
        gateways.get(0).program().signal("STOP");
        book(1);
        gateways.get(0).program().signal("CONT");
        assertThat(answer.join().statusCode()).isEqualTo(200);
        Await.until(
                "the outcome is recorded",
                () -> !deployment.log(ReservationOutcome.class).isEmpty());
        Await.until("the recorded answer", () -> book(1).statusCode() == 200);
        assertThat(executions()).isEqualTo(1);
    }

    private CompletableFuture<HttpResponse<String>> sendBooking() {
        CompletableFuture<HttpResponse<String>> answer =
                TestHttpClient.send(Deployment.booking(gateways.get(0).port(), CALL));
        Await.until("the ledger ran the booking", () -> executions() == 1);
        return answer;
    }

    private HttpResponse<String> book(int gateway) {
        return TestHttpClient.join(Deployment.booking(gateways.get(gateway).port(), CALL));
    }

    private int executions() {
        return Deployment.ledgerCounts(ledger).executions().getOrDefault(CALL, 0);
    }
}
