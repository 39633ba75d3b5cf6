package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

class GatewayLogTest {

    private static final String BODY = new ChatPrompt("a", 1).body(false);

    @Test
    void refusesAsNotRunUntilTheLogIsThere() throws Exception {
        try (InProcessDeployment bench =
                new InProcessDeployment(InProcessDeployment.Size.of(1, 1, 0).withLogDown())) {
            HttpResponse<String> refused = bench.chat(0, InProcessConfiguration.KEY, BODY);

            assertThat(bench.ready(bench.gateway(0))).isFalse();
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(InProcessDeployment.errorOf(refused).getString("code")).isEqualTo("not_admitting");
            assertThat(InProcessDeployment.errorOf(refused).getBoolean("not_run"))
                    .isTrue();
            assertThat(refused.headers().firstValue("Retry-After")).isPresent();
            bench.fault(bench.platformPort(), "LOG_OUTAGE", 0);
            bench.apply(bench.configuration());
            assertThat(bench.chat(0, InProcessConfiguration.KEY, BODY).statusCode())
                    .isEqualTo(200);
        }
    }

    @Test
    void passesOverAConfigurationWithAnUnknownField() throws Exception {
        try (InProcessDeployment bench = new InProcessDeployment(InProcessDeployment.Size.of(1, 1, 0))) {
            bench.appendRaw("{\"writer\":\"w\",\"sequence\":1,\"records\":[{\"type\":\"ConfigurationChange\","
                    + "\"changeId\":\"c\",\"operator\":\"o\",\"baseVersion\":2,\"configuration\":{\"unknown\":1}}]}");

            assertThat(bench.chat(0, InProcessConfiguration.KEY, BODY).statusCode())
                    .isEqualTo(200);
            bench.withdrawKey("alpha", InProcessConfiguration.SPARE_KEY);
            assertThat(bench.chat(0, InProcessConfiguration.SPARE_KEY, BODY).statusCode())
                    .isEqualTo(401);
        }
    }
}
