package org.cranberrygauge.runtime.http;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * An HTTP client of which connections may be kept.
 *
 * <p>Invariants: a connection carries one exchange at a time, and no byte of one response becomes part of another
 * ({@link ClientConnectionCodec}); a request gets no connection that its server has closed or written to while no request was
 * in progress, as far as that has arrived. Thread-safe.
 */
public final class KeptHttpClient {

    /** The number of connections that are tried for a request. */
    private static final int MAXIMUM_TRIES = 5;

    private final Vertx vertx;

    private final HttpClient client;

    public KeptHttpClient(Vertx vertx, HttpClientOptions options, PoolOptions pool, EventLog events) {
        this(vertx, options, pool, events, connection -> {});
    }

    /** @param opened Handles each connection that has just been opened, before its first request. */
    public KeptHttpClient(
            Vertx vertx, HttpClientOptions options, PoolOptions pool, EventLog events, Handler<HttpConnection> opened) {
        this.vertx = vertx;
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
        return request(options, MAXIMUM_TRIES);
    }

    private Future<HttpClientRequest> request(RequestOptions options, int tries) {
        return client.request(options)
                .compose(this::requireUsable)
                .recover(failure -> failure instanceof HttpClosedException && tries > 1
                        ? request(options, tries - 1)
                        : Future.failedFuture(failure));
    }

    /** Fails with {@link HttpClosedException} if the connection has ended before the request is sent. */
    private Future<HttpClientRequest> requireUsable(HttpClientRequest request) {
        request.exceptionHandler(KeptHttpClient::ignoreBeforeUse);
        return isUsable(request).compose(usable -> {
            if (usable) {
                return Future.succeededFuture(request);
            }
            request.reset();
            return Future.failedFuture(new HttpClosedException("the server ended the connection before the request"));
        });
    }

    /** Ignores the end of a connection before its request is used, since another one is opened then. */
    private static void ignoreBeforeUse(Throwable failure) {
        // The next connection is tried.
    }

    /** Tells on the current context whether the connection of a request is still open after what has arrived there. */
    private Future<Boolean> isUsable(HttpClientRequest request) {
        Promise<Boolean> usable = Promise.promise();
        Context context = vertx.getOrCreateContext();
        ConnectionChannel.afterPending(
                request.connection(), open -> context.runOnContext(run -> usable.complete(open)));
        return usable.future();
    }
}
