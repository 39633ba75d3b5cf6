package org.cranberrygauge.operator.view;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * Reads from the operations address of gateways; one that does not answer is left out.
 *
 * <p>Used by one thread.
 */
public final class OperationsClient {

    /** The HTTP status of an answer. */
    private static final int OK = 200;

    /** The HTTP client. */
    private final HttpClient client;

    /** The addresses of the gateways. */
    private final List<NetworkAddress> addresses;

    /** The time after which a gateway is given up in milliseconds. */
    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param vertx The Vert.x instance.
     * @param addresses The addresses of the gateways.
     * @param timeoutMillis The time after which a gateway is given up in milliseconds.
     */
    public OperationsClient(Vertx vertx, List<NetworkAddress> addresses, long timeoutMillis) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) timeoutMillis));
        this.addresses = List.copyOf(addresses);
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Returns the addresses of the gateways.
     *
     * @return The addresses.
     */
    public List<NetworkAddress> addresses() {
        return addresses;
    }

    /**
     * Reads the metrics of each gateway.
     *
     * @return The text by address; a gateway that does not answer is left out.
     */
    public Map<NetworkAddress, String> metrics() {
        return read("/metrics");
    }

    /**
     * Reads the state of each gateway.
     *
     * @return The JSON text by address; a gateway that does not answer is left out.
     */
    public Map<NetworkAddress, String> states() {
        return read("/state");
    }

    /**
     * Reads what each gateway decided about a subject.
     *
     * @param subject The subject.
     * @return The JSON text by address; a gateway that does not answer is left out.
     */
    public Map<NetworkAddress, String> decisions(String subject) {
        return read("/decisions?about=" + URLEncoder.encode(subject, StandardCharsets.UTF_8));
    }

    /**
     * Reads a path from each gateway.
     *
     * @param path The path.
     * @return The text by address.
     */
    private Map<NetworkAddress, String> read(String path) {
        Map<NetworkAddress, String> texts = new LinkedHashMap<>();
        for (NetworkAddress address : addresses) {
            try {
                String text = client.request(HttpMethod.GET, address.port(), address.host(), path)
                        .compose(request -> request.send())
                        .compose(OperationsClient::body)
                        .map(Buffer::toString)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(timeoutMillis, TimeUnit.MILLISECONDS);
                texts.put(address, text);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return texts;
            } catch (ExecutionException | TimeoutException exception) {
                continue;
            }
        }
        return texts;
    }

    /**
     * Reads the body of an answer.
     *
     * @param response The answer.
     * @return The body, or a failure if the gateway refused.
     */
    private static Future<Buffer> body(HttpClientResponse response) {
        if (response.statusCode() != OK) {
            return Future.failedFuture("status " + response.statusCode());
        }
        return response.body();
    }
}
