package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

class GatewayLogTest {

    private static final String BODY = new ChatPrompt("a", 1).body(false);

    @Test
    void refusesAsNotRunWhileTheLogIsUnavailableAtStart() throws Exception {
        try (InProcessDeployment deployment = new InProcessDeployment(
                InProcessDeployment.DeploymentOptions.of(1, 1, 0).withLogDown())) {
            HttpResponse<String> refused = deployment.chat(0, InProcessConfiguration.KEY, BODY);

            assertThat(deployment.ready(deployment.gateway(0))).isFalse();
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(InProcessDeployment.errorOf(refused).getString("code")).isEqualTo("not_admitting");
            assertThat(InProcessDeployment.errorOf(refused).getBoolean("not_run"))
                    .isTrue();
            assertThat(refused.headers().firstValue("Retry-After")).isPresent();
            deployment.fault(deployment.platformPort(), "LOG_OUTAGE", 0);
            deployment.apply(deployment.configuration());
            assertThat(deployment.chat(0, InProcessConfiguration.KEY, BODY).statusCode())
                    .isEqualTo(200);
        }
    }

    @Test
    void ignoresAConfigurationWithAnUnknownField() throws Exception {
        try (InProcessDeployment deployment =
                new InProcessDeployment(InProcessDeployment.DeploymentOptions.of(1, 1, 0))) {
            deployment.appendRaw("{\"writer\":\"w\",\"sequence\":1,\"records\":[{\"type\":\"ConfigurationChange\","
                    + "\"changeId\":\"c\",\"operator\":\"o\",\"baseVersion\":2,\"configuration\":{\"unknown\":1}}]}");

            assertThat(deployment.chat(0, InProcessConfiguration.KEY, BODY).statusCode())
                    .isEqualTo(200);
            deployment.withdrawKey("alpha", InProcessConfiguration.SPARE_KEY);
            assertThat(deployment
                            .chat(0, InProcessConfiguration.SPARE_KEY, BODY)
                            .statusCode())
                    .isEqualTo(401);
        }
    }
}
