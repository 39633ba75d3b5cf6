package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a connection that is reset while the caller still sends its body, so that the rejection is lost. */
class RejectionBeforeBodyTest {

    private static final int BODY_BYTES = 4_000_000;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Test
    void theCallerGetsTheRejectionBeforeItHasSentTheBodyAndCanSendAllOfIt() throws Exception {
        try (Socket caller = connect(BODY_BYTES)) {
            BufferedReader reader = reader(caller);
            assertThat(readHead(reader)).contains("HTTP/1.1 503 Service Unavailable", "connection: close");
            caller.getOutputStream().write(new byte[BODY_BYTES]);
            assertThat(reader.read()).isEqualTo(-1);
        }
    }

    @Test
    void theConnectionOfARequestWithoutBodyIsClosedAfterTheRejection() throws Exception {
        try (Socket caller = connect(0)) {
            BufferedReader reader = reader(caller);
            assertThat(readHead(reader)).contains("HTTP/1.1 503 Service Unavailable", "retry-after: 0.05");
            assertThat(reader.read()).isEqualTo(-1);
        }
    }

    private Socket connect(int bodyBytes) throws Exception {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {
            RejectReason reason = RejectReason.HOST_OVERLOADED;
            RequestMemory memory = new RequestMemory(
                    Long.MAX_VALUE,
                    TimeSource.System.INSTANCE,
                    new ExchangeMetrics(new PrometheusRegistry()),
                    EventLog.NoOp.INSTANCE);
            new CallerResponse(request, memory, () -> false, false)
                    .rejectBeforeBody(vertx, reason, reason.retryAfterMillis());
        });
        int port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), port);
        caller.setSoTimeout(10_000);
        String head = "POST /work/ HTTP/1.1\r\nHost: api.example\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private static BufferedReader reader(Socket caller) throws IOException {
        return new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static List<String> readHead(BufferedReader reader) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            lines.add(line);
        }
        return lines;
    }
}
