package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.http.KeptHttpClient;
import org.cranberrygauge.runtime.http.UnnamedResponses;

/**
 * Opens connections to backend servers.
 *
 * <p>Invariants: a connection carries one exchange at a time. A request that must run at most once gets a new
 * connection, since an idle one may be closed by the backend server while the request is on its way. On a connection that is
 * reused, a response that names no request counts only if it is the first one there.
 * Thread-safe.
 */
public final class BackendClient {

    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** The time after which an idle connection is closed. */
    static final int KEEP_ALIVE_SECONDS = 4;

    /** The maximum number of connections to one backend server. */
    private static final int MAXIMUM_CONNECTIONS = 120;

    /** The maximum size of all response headers. */
    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    /** The time within which the rest of a response that is not needed must end, in milliseconds. */
    private static final long DISCARD_MILLIS = 500;

    /** The maximum size of such a rest. */
    private static final int MAXIMUM_DISCARDED_BYTES = 64 << 10;

    private final Vertx vertx;

    /** Reuses connections. */
    private final KeptHttpClient pooled;

    /** Opens a connection for each request. */
    private final KeptHttpClient unpooled;

    public BackendClient(Vertx vertx, HeaderCodec codec, EventLog events) {
        this.vertx = vertx;
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS);
        pooled = new KeptHttpClient(
                vertx,
                options().setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
                pool,
                events,
                connection -> UnnamedResponses.watch(connection, headers -> namesRequest(codec, headers)));
        unpooled = new KeptHttpClient(vertx, options().setKeepAlive(false), pool, events);
    }

    /** Tells whether a response names its request; the rejection of another host counts, as hosts send none twice. */
    private static boolean namesRequest(HeaderCodec codec, MultiMap headers) {
        return codec.namesRequest(headers) || Forwarding.isRejection(headers);
    }

    /**
     * Opens a connection for a request.
     *
     * <p>The result is delivered after all input that the event loop has ready. If a caller sent a request and
     * disconnected before this host read either, the exchange has been cancelled by then.
     *
     * @param server The address of the backend server, or of another host.
     * @return The request to that server, of which nothing is sent yet; if this fails, nothing was sent.
     */
    Future<HttpClientRequest> open(ProxyRequest request, NetworkAddress server) {
        try {
            return openTo(request, server);
        } catch (IllegalArgumentException exception) {
            return Future.failedFuture(exception);
        }
    }

    private Future<HttpClientRequest> openTo(ProxyRequest request, NetworkAddress server) {
        RequestOptions options = new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(server.port(), server.host()))
                .setHost(server.host())
                .setPort(server.port())
                .setMethod(request.method())
                .setURI(request.uri())
                .putHeader(HttpHeaders.HOST, request.host());
        boolean reuse = request.route().kind().mayRetry();
        Promise<HttpClientRequest> opened = Promise.promise();
        (reuse ? pooled : unpooled)
                .request(options)
                .onComplete(result -> afterPendingInput(() -> opened.handle(result)));
        return opened.future();
    }

    /**
     * Releases the connection of a response of which nothing more is needed: its body is read to the end, or the connection
     * is closed if the end takes too long or too many bytes.
     */
    void discard(HttpClientResponse response) {
        HttpClientRequest request = response.request();
        long timer = vertx.setTimer(DISCARD_MILLIS, fired -> request.reset());
        AtomicLong discardedBytes = new AtomicLong();
        response.exceptionHandler(failure -> vertx.cancelTimer(timer));
        response.endHandler(end -> vertx.cancelTimer(timer));
        response.handler(bytes -> {
            if (discardedBytes.addAndGet(bytes.length()) > MAXIMUM_DISCARDED_BYTES) {
                request.reset();
            }
        });
        response.resume();
    }

    /**
     * Runs an action after all input that the event loop has ready. Netty reports a connection whose end it has read in
     * a task, which precedes the second of two tasks that are started one by the other.
     */
    private void afterPendingInput(Runnable action) {
        vertx.runOnContext(first -> vertx.runOnContext(second -> action.run()));
    }

    private static HttpClientOptions options() {
        return new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setTcpNoDelay(true)
                .setDecompressionSupported(false)
                .setMaxHeaderSize(MAXIMUM_HEADER_BYTES);
    }
}
