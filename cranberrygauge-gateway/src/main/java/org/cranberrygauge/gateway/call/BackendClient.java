package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.http.KeptHttpClient;

/**
 * Opens HTTP requests to backend servers.
 *
 * <p>Invariants: a request carries only the headers named here and this system's own credential, so that no backend
 * server sees a caller's key; a connection carries one exchange at a time and is closed when that exchange is reset; a
 * response that answers an earlier attempt of its connection is known as such. Safe for use by several threads.
 */
public final class BackendClient {

    /** The request header with the identifier of the attempt; a response may echo it. */
    public static final String ATTEMPT_HEADER = "X-Attempt-Id";

    /** The request header with the label under which the backend server counts usage. */
    public static final String USAGE_LABEL_HEADER = "X-Usage-Label";

    /** The largest number of connections to one backend server, for each way of using them. */
    private static final int MAX_CONNECTIONS = 256;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Reuses connections. */
    private final KeptHttpClient pooled;

    /** Opens a connection for each request. */
    private final KeptHttpClient unpooled;

    private final String credential;

    private final long idleTimeoutMillis;

    public BackendClient(Vertx vertx, String credential, long idleTimeoutMillis, EventLog events) {
        this.pooled = client(vertx, true, events);
        this.unpooled = client(vertx, false, events);
        this.credential = credential;
        this.idleTimeoutMillis = idleTimeoutMillis;
    }

    private static KeptHttpClient client(Vertx vertx, boolean reuse, EventLog events) {
        return new KeptHttpClient(
                vertx,
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setKeepAlive(reuse),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS),
                events,
                AttemptEchoCheck::install);
    }

    /** Returns whether a response answers an attempt, as far as its server tells. */
    static boolean answers(HttpClientResponse response, String attempt) {
        return AttemptEchoCheck.answers(response.getHeader(ATTEMPT_HEADER), attempt);
    }

    long idleTimeoutMillis() {
        return idleTimeoutMillis;
    }

    /**
     * Opens a request. Nothing is sent until the request is ended.
     *
     * @param uri The path with its query.
     * @param ownConnection Whether to open a connection for this request only, which an earlier response can't be on.
     * @param headers Headers to send in addition to the credential and the attempt identifier.
     * @return The request, or a failure if no connection was established and therefore nothing was sent.
     */
    public Future<HttpClientRequest> open(
            BackendServer server,
            HttpMethod method,
            String uri,
            String attempt,
            boolean ownConnection,
            Map<String, String> headers) {
        RequestOptions options = new RequestOptions()
                .setHost(server.address().host())
                .setPort(server.address().port())
                .setMethod(method)
                .setURI(uri)
                .setIdleTimeout(idleTimeoutMillis)
                .putHeader("Authorization", "Bearer " + credential)
                .putHeader(ATTEMPT_HEADER, attempt);
        headers.forEach(options::putHeader);
        KeptHttpClient client = ownConnection ? unpooled : pooled;
        return client.request(options).onSuccess(request -> request.exceptionHandler(BackendClient::ignoreFailure));
    }

    /** Ignores a failure of the exchange, since it is also reported through the response future. */
    private static void ignoreFailure(Throwable failure) {
        // The response future fails as well.
    }
}
