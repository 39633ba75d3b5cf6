package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * Opens HTTP requests to backend servers.
 *
 * <p>Invariants: a request carries only the headers named here and this system's own credential, so that no backend
 * server sees a caller's key; a connection carries one exchange at a time and is closed when that exchange is reset.
 * Safe for use by several threads.
 */
public final class BackendClient {

    /** The request header with the identifier of the attempt; a response may echo it. */
    public static final String ATTEMPT_HEADER = "X-Attempt-Id";

    /** The request header with the label under which the backend server counts usage. */
    public static final String USAGE_LABEL_HEADER = "X-Usage-Label";

    /** The largest number of pooled connections to one backend server. */
    private static final int MAX_CONNECTIONS = 256;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;

    private final String credential;

    private final long idleTimeoutMillis;

    public BackendClient(Vertx vertx, String credential, long idleTimeoutMillis) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setPipelining(false),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        this.credential = credential;
        this.idleTimeoutMillis = idleTimeoutMillis;
    }

    long idleTimeoutMillis() {
        return idleTimeoutMillis;
    }

    /**
     * Opens a request. Nothing is sent until the request is ended.
     *
     * @param uri The path with its query.
     * @param headers Headers to send in addition to the credential and the attempt identifier.
     * @return The request, or a failure if no connection was established and therefore nothing was sent.
     */
    public Future<HttpClientRequest> open(
            BackendServer server, HttpMethod method, String uri, String attempt, Map<String, String> headers) {
        RequestOptions options = new RequestOptions()
                .setHost(server.address().host())
                .setPort(server.address().port())
                .setMethod(method)
                .setURI(uri)
                .setIdleTimeout(idleTimeoutMillis)
                .putHeader("Authorization", "Bearer " + credential)
                .putHeader(ATTEMPT_HEADER, attempt);
        headers.forEach(options::putHeader);
        return client.request(options).onSuccess(request -> request.exceptionHandler(BackendClient::ignoreFailure));
    }

    /** Ignores a failure of the exchange, since it is also reported through the response future. */
    private static void ignoreFailure(Throwable failure) {
        // The response future fails as well.
    }
}
