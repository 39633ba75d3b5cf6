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
 * Opens requests to backend servers.
 *
 * <p>Invariants: only the headers named here and the system's own credential are sent, so that no backend server sees a
 * caller's key; connections carry one exchange at a time and are closed when it is reset. Safe for use by several threads.
 */
public final class BackendClient {

    /** The header with the identifier of the attempt. */
    public static final String ATTEMPT_HEADER = "X-Attempt-Id";

    /** The header with the label by which usage is counted. */
    public static final String USAGE_LABEL_HEADER = "X-Usage-Label";

    /** The number of connections to one backend server. */
    private static final int CONNECTIONS = 256;

    /** The time after which a connect is given up in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** The HTTP client. */
    private final HttpClient client;

    /** The credential for backend servers. */
    private final String credential;

    /** The time without a byte after which a backend server is given up in milliseconds. */
    private final long idleTimeoutMillis;

    /**
     * Creates a client.
     *
     * @param vertx The Vert.x instance.
     * @param credential The credential for backend servers.
     * @param idleTimeoutMillis The time without a byte after which a backend server is given up in milliseconds.
     */
    public BackendClient(Vertx vertx, String credential, long idleTimeoutMillis) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setPipelining(false),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS));
        this.credential = credential;
        this.idleTimeoutMillis = idleTimeoutMillis;
    }

    /**
     * Returns the time without a byte after which a backend server is given up.
     *
     * @return The time in milliseconds.
     */
    long idleTimeoutMillis() {
        return idleTimeoutMillis;
    }

    /**
     * Opens a request; nothing of it is sent until it is ended.
     *
     * @param server The backend server.
     * @param method The method.
     * @param uri The path with its query.
     * @param attempt The identifier of the attempt.
     * @param headers Further headers.
     * @return The request, or a failure after which it is certain that nothing was sent.
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
        return client.request(options).onSuccess(request -> request.exceptionHandler(BackendClient::dropped));
    }

    /**
     * Takes the failure of an exchange, which is also reported by its response or by the lack of one.
     *
     * @param failure The failure.
     */
    private static void dropped(Throwable failure) {
        // Whoever waits for the response is told there.
    }
}
