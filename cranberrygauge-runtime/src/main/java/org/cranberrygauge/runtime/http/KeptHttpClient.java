package org.cranberrygauge.runtime.http;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * An HTTP client of which connections may be kept.
 *
 * <p>Invariant: a connection carries one exchange at a time. Thread-safe.
 */
public final class KeptHttpClient {

    private final HttpClient client;

    public KeptHttpClient(Vertx vertx, HttpClientOptions options, PoolOptions pool, EventLog events) {
        this(vertx, options, pool, events, connection -> {});
    }

    /** @param opened Handles each connection that has just been opened, before its first request. */
    public KeptHttpClient(
            Vertx vertx, HttpClientOptions options, PoolOptions pool, EventLog events, Handler<HttpConnection> opened) {
        HttpClientOptions exclusive = new HttpClientOptions(options).setPipelining(false);
        client = vertx.httpClientBuilder()
                .with(exclusive)
                .with(pool)
                .withConnectHandler(connection -> {
                    ClientConnectionCodec.install(connection, exclusive, events);
                    opened.handle(connection);
                })
                .build();
    }

    /**
     * Opens a request on a kept connection or on a new one. Nothing is sent until the request is.
     *
     * @return The request, or a failure if no connection was established and therefore nothing was sent.
     */
    public Future<HttpClientRequest> request(RequestOptions options) {
        return client.request(options);
    }
}
