package org.cranberrygauge.operator.view;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.http.KeptHttpClient;
import org.cranberrygauge.runtime.http.ResponseBody;

/**
 * Queries the operations servers of gateways; a gateway that does not answer in time is omitted.
 *
 * <p>Used by one thread.
 */
public final class OperationsClient {

    private static final int OK = 200;

    /** The maximum size of the body of a response. */
    private static final int MAX_RESPONSE_BYTES = 32 << 20;

    private final KeptHttpClient client;

    private final List<NetworkAddress> addresses;

    private final long timeoutMillis;

    public OperationsClient(Vertx vertx, List<NetworkAddress> addresses, long timeoutMillis) {
        this.client = new KeptHttpClient(
                vertx,
                new HttpClientOptions().setConnectTimeout((int) timeoutMillis),
                new PoolOptions(),
                EventLog.NoOp.INSTANCE);
        this.addresses = List.copyOf(addresses);
        this.timeoutMillis = timeoutMillis;
    }

    public List<NetworkAddress> addresses() {
        return addresses;
    }

    /**
     * Reads the metrics of each gateway.
     *
     * @return The metrics in text format, by address.
     */
    public Map<NetworkAddress, String> metrics() {
        return read("/metrics");
    }

    /**
     * Reads the state of each gateway.
     *
     * @return The state as JSON, by address.
     */
    public Map<NetworkAddress, String> states() {
        return read("/state");
    }

    /**
     * Reads the decisions of each gateway about a subject.
     *
     * @return The decisions as JSON, by address.
     */
    public Map<NetworkAddress, String> decisions(String subject) {
        return read("/decisions?about=" + URLEncoder.encode(subject, StandardCharsets.UTF_8));
    }

    private Map<NetworkAddress, String> read(String path) {
        Map<NetworkAddress, String> texts = new LinkedHashMap<>();
        for (NetworkAddress address : addresses) {
            try {
                String text = client.request(options(address, path))
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

    private static RequestOptions options(NetworkAddress address, String path) {
        return new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(address.host())
                .setPort(address.port())
                .setURI(path);
    }

    private static Future<Buffer> body(HttpClientResponse response) {
        if (response.statusCode() != OK) {
            return Future.failedFuture("status " + response.statusCode());
        }
        return ResponseBody.read(response, MAX_RESPONSE_BYTES);
    }
}
