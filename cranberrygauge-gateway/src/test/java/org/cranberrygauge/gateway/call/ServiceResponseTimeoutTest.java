package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Request;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.api.Test;

/** Guards against service calls that wait for ever for the rest of a response (found in the review of issue 53). */
class ServiceResponseTimeoutTest {

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    private static final Pattern CUT = Pattern.compile("cut=(\\d+)");

    /** More than the time in which all attempts of a call run into their timeout. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(5 * CallBench.BACKEND_TIMEOUT_MILLIS);

    /** Guards against a call without an answer, and one with an empty or short 200, after a response that goes silent. */
    @Test
    void aCallWhoseResponseGoesSilentAtAnyByteFailsInTime() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        try (RawServer server = new RawServer(ServiceResponseTimeoutTest::cut);
                CallBench bench = new CallBench(server)) {
            List<Future<String>> once = new ArrayList<>();
            List<Future<String>> safe = new ArrayList<>();
            for (int before = 0; before < WHOLE.length(); before++) {
                String query = "?cut=" + before;
                once.add(callers.submit(() -> bench.ask("POST", "/once/x" + query, "", "")));
                safe.add(callers.submit(() -> bench.ask("GET", "/safe/x" + query, "", "")));
            }
            for (int before = 0; before < WHOLE.length(); before++) {
                assertThat(once.get(before))
                        .as("cut at %s", before)
                        .succeedsWithin(ANSWER_TIME)
                        .asString()
                        .startsWith("HTTP/1.1 409")
                        .contains("outcome_unknown");
                assertThat(safe.get(before))
                        .as("cut at %s", before)
                        .succeedsWithin(ANSWER_TIME)
                        .asString()
                        .startsWith("HTTP/1.1 504")
                        .contains("backend_timeout");
            }
        } finally {
            callers.shutdown();
        }
    }

    /** Sends the response up to the byte that the path names, and nothing more. */
    private static Response cut(Request request) {
        Matcher cut = CUT.matcher(request.path());
        assertThat(cut.find()).isTrue();
        return new Response(WHOLE.substring(0, Integer.parseInt(cut.group(1))), End.KEEP);
    }
}
