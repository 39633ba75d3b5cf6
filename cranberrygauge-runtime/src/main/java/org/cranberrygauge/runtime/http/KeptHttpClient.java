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
 * in progress, as far as that has arrived; a server that ends new connections gets one for each request. Thread-safe.
 */
public final class KeptHttpClient {

    /** The number of kept connections that may have ended before a request fails. Each of them leaves the pool. */
    private static final int MAXIMUM_TRIES = 100;

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
                .recover(failure -> failure instanceof KeptConnectionEndedException && tries > 1
                        ? request(options, tries - 1)
                        : Future.failedFuture(failure));
    }

    /** Fails if the connection has ended before the request is sent. */
    private Future<HttpClientRequest> requireUsable(HttpClientRequest request) {
        request.exceptionHandler(KeptHttpClient::ignoreBeforeUse);
        return ending(request).compose(ending -> {
            if (ending == Ending.NONE) {
                return Future.succeededFuture(request);
            }
            request.reset();
            return Future.failedFuture(
                    ending == Ending.KEPT
                            ? new KeptConnectionEndedException()
                            : new HttpClosedException("the server ended a new connection before the request"));
        });
    }

    /** Ignores the end of a connection before its request is used, since the request fails by itself. */
    private static void ignoreBeforeUse(Throwable failure) {
        // The connection is examined.
    }

    /**
     * Tells on the current context whether the connection of a request has ended, after what has arrived there. One that is
     * not usable any more is closed, so that it leaves the pool.
     */
    private Future<Ending> ending(HttpClientRequest request) {
        Promise<Ending> ending = Promise.promise();
        Context context = vertx.getOrCreateContext();
        HttpConnection connection = request.connection();
        ClientConnectionCodec codec = ClientConnectionCodec.of(connection);
        ConnectionChannel.afterPending(connection, () -> {
            Ending found = endingNow(connection, codec);
            Runnable complete = () -> context.runOnContext(run -> ending.complete(found));
            if (found == Ending.NONE) {
                complete.run();
            } else {
                ConnectionChannel.close(connection, complete);
            }
        });
        return ending.future();
    }

    private static Ending endingNow(HttpConnection connection, ClientConnectionCodec codec) {
        if (ConnectionChannel.isOpen(connection) && codec.isUsable()) {
            return Ending.NONE;
        }
        return codec.isKept() ? Ending.KEPT : Ending.NEW;
    }

    /** Whether a connection has ended, and which kind. */
    private enum Ending {
        NONE,
        /** A connection that has carried a response. */
        KEPT,
        /** A connection that has carried none. */
        NEW
    }

    /** A kept connection ended before the request was sent, so that another one may be used. */
    private static final class KeptConnectionEndedException extends Exception {

        private static final long serialVersionUID = 1L;

        KeptConnectionEndedException() {
            super("the server ended a kept connection before the request", null, false, false);
        }
    }
}
