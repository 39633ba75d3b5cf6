package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a usage that no backend server stated (issue 53). */
class CompletionUsageTest {

    private static final String CHAT =
            "{\"model\":\"model\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"stream\":";

    /** Guards against a count of minus one for a completion whose stream broke off before its usage. */
    @ParameterizedTest
    @ValueSource(strings = {"", "data: [DONE]\n\n"})
    void aCompletionWhoseServerStatedNoUsageStatesNone(String end) throws Exception {
        String finished = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: {\"id\":\"c\",\"choices\":[{\"index\":0,"
                + "\"delta\":{\"content\":\"t1\"},\"finish_reason\":\"stop\"}]}\n\n" + end;
        try (RawServer server = new RawServer(request -> new Response(finished, End.CLOSE));
                CallBench bench = new CallBench(server)) {
            assertThat(bench.ask("POST", CallBench.CHAT, "", CHAT + "false}"))
                    .startsWith("HTTP/1.1 200")
                    .contains("\"content\":\"t1\"")
                    .doesNotContain("usage");
            assertThat(bench.ask(
                            "POST", CallBench.CHAT, "", CHAT + "true,\"stream_options\":{\"include_usage\":true}}"))
                    .contains("\"content\":\"t1\"", "data: [DONE]")
                    .doesNotContain("usage");
        }
    }
}
