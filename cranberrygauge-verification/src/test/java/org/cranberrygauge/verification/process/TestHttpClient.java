package org.cranberrygauge.verification.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cranberrygauge.emulator.web.FaultSwitch;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.protocol.JsonCodec;

/** A plain HTTP client with keep-alive connections. */
final class TestHttpClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private TestHttpClient() {}

    static <T> T get(int port, String path, Class<T> type) {
        try {
            return JsonCodec.read(join(request(port, path).GET()).body(), type);
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static int status(int port, String path) {
        try {
            return join(request(port, path).GET()).statusCode();
        } catch (IllegalStateException exception) {
            return 0;
        }
    }

    static void fault(int port, String name, double amount) {
        String body = JsonCodec.write(new FaultSwitch(name, amount));
        HttpResponse<String> answer = join(request(port, "/faults").POST(HttpRequest.BodyPublishers.ofString(body)));
        if (answer.statusCode() != 200) {
            throw new IllegalStateException("emulator rejected the fault " + name + ": " + answer.body());
        }
    }

    static HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json");
    }

    static CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return CLIENT.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static HttpResponse<String> join(HttpRequest.Builder request) {
        try {
            return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }
}
