package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class AtMostOnceTest {

    private static InProcessDeployment deployment;

    @BeforeAll
    static void start() throws Exception {
        deployment = new InProcessDeployment(InProcessDeployment.DeploymentOptions.of(2, 1, 2));
    }

    @AfterAll
    static void stop() throws Exception {
        deployment.close();
    }

    @Test
    void repeatsTheRecordedAnswerThroughAnyGateway() throws Exception {
        HttpResponse<String> first = book(0, "answered", "answered", "{}");

        assertThat(first.statusCode()).isEqualTo(200);
        Await.until(
                "the other gateway knows the answer",
                () -> book(1, "answered", "answered", "{}").statusCode() == 200);
        assertThat(book(1, "answered", "answered", "{}").body()).isEqualTo(first.body());
        assertThat(deployment.executions("answered")).isEqualTo(1);
    }

    @Test
    void refusesTheSameKeyWithAnotherBody() throws Exception {
        book(0, "reused", "reused", "{}");

        HttpResponse<String> other = book(0, "reused", "reused", "{\"other\":1}");

        assertThat(other.statusCode()).isEqualTo(409);
        assertThat(InProcessDeployment.errorOf(other).getString("code")).isEqualTo("key_reused");
        assertThat(deployment.executions("reused")).isEqualTo(1);
    }

    @Test
    void neverRetriesACallThatMayHaveRun() throws Exception {
        for (int port : deployment.ledgerPorts()) {
            deployment.fault(port, "DROP_AFTER_EFFECT", 1);
        }

        assertUnknown(book(0, "lost", "lost", "{}"));
        Await.until("the outcome is recorded", () -> {
            String code =
                    InProcessDeployment.errorOf(book(1, "lost", "lost", "{}")).getString("code");
            assertThat(code).isIn("in_progress", "outcome_unknown");
            return code.equals("outcome_unknown");
        });
        assertUnknown(book(0, "lost", "lost", "{}"));
        assertThat(deployment.executions("lost")).isEqualTo(1);
        for (int port : deployment.ledgerPorts()) {
            deployment.fault(port, "DROP_AFTER_EFFECT", 0);
        }
    }

    @Test
    void sendsAnUnkeyedCallOnceAndReportsItsOutcomeAsUnknown() throws Exception {
        for (int port : deployment.ledgerPorts()) {
            deployment.fault(port, "DROP_AFTER_EFFECT", 1);
        }

        assertUnknown(book(0, null, "unkeyed", "{}"));

        assertThat(deployment.executions("unkeyed")).isEqualTo(1);
        for (int port : deployment.ledgerPorts()) {
            deployment.fault(port, "DROP_AFTER_EFFECT", 0);
        }
    }

    @Test
    void refusesAKeyedCallAsNotRunWhileTheLogIsDown() throws Exception {
        deployment.fault(deployment.platformPort(), "LOG_OUTAGE", 1);

        HttpResponse<String> refused = book(0, "outage", "outage", "{}");

        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(InProcessDeployment.errorOf(refused).getString("code")).isEqualTo("log_unavailable");
        assertThat(InProcessDeployment.errorOf(refused).getBoolean("not_run")).isTrue();
        assertThat(refused.headers().firstValue("Retry-After")).isPresent();
        assertThat(deployment.executions("outage")).isZero();
        deployment.fault(deployment.platformPort(), "LOG_OUTAGE", 0);
        Await.until(
                "the key is free again", () -> book(0, "outage", "outage", "{}").statusCode() == 200);
        assertThat(deployment.executions("outage")).isEqualTo(1);
    }

    private static void assertUnknown(HttpResponse<String> answer) {
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(409);
        assertThat(InProcessDeployment.errorOf(answer).getString("code")).isEqualTo("outcome_unknown");
        assertThat(InProcessDeployment.errorOf(answer).getBoolean("not_run")).isFalse();
    }

    private static HttpResponse<String> book(int gateway, String idempotencyKey, String call, String body)
            throws Exception {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + InProcessConfiguration.KEY);
        headers.put("X-Call-Id", call);
        if (idempotencyKey != null) {
            headers.put("Idempotency-Key", idempotencyKey);
        }
        return InProcessDeployment.request(
                deployment.gatewayPort(gateway), "POST", "/services/ledger/bookings", headers, body);
    }
}
