package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.decision.stop.PlannedStop;
import org.cranberrygauge.gateway.call.RawServer.End;
import org.cranberrygauge.gateway.call.RawServer.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that a stopping gateway begins though it can't wait for their end (LOST). */
class StoppingGatewayCallTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    private final ExecutorService callers = Executors.newCachedThreadPool();

    @AfterEach
    void stop() {
        callers.shutdownNow();
    }

    @Test
    void aCallThatIsToBeginTooLateIsRejectedAsNotRun() throws Exception {
        try (RawServer server = new RawServer(request -> new Response(WHOLE, End.CLOSE));
                CallBench bench = new CallBench(server)) {
            bench.stop.set(PlannedStop.OVER);
            assertThat(bench.ask("POST", "/once/x", "", ""))
                    .startsWith("HTTP/1.1 503")
                    .contains("\"not_run\":true");
            assertThat(server.requests()).isEmpty();
        }
    }

    @Test
    void aCallThatWaitsIsRejectedOnceItIsTooLate() throws Exception {
        try (CallBench bench = new CallBench()) {
            Future<String> waiting = callers.submit(() -> bench.ask("POST", "/once/x", "", ""));
            while (bench.activeCalls().size() == 0) {
                Thread.onSpinWait();
            }
            bench.stop.set(PlannedStop.OVER);
            bench.activeCalls().recheckQueued();
            assertThat(waiting)
                    .succeedsWithin(TIMEOUT)
                    .asString()
                    .startsWith("HTTP/1.1 503")
                    .contains("shutting down");
        }
    }

    @Test
    void aFailedCallIsNotRetriedTooLate() throws Exception {
        AtomicReference<CallBench> gateway = new AtomicReference<>();
        RawServer failing = new RawServer(request -> {
            gateway.get().stop.set(PlannedStop.OVER);
            return new Response("", End.CLOSE);
        });
        try (failing;
                CallBench bench = new CallBench(failing)) {
            gateway.set(bench);
            assertThat(bench.ask("GET", "/safe/x", "", ""))
                    .startsWith("HTTP/1.1 503")
                    .contains("\"not_run\":false");
            assertThat(failing.requests()).hasSize(1);
        }
    }
}
