package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import org.cranberrygauge.proxy.backend.Backend;

/**
 * Opens connections to backend servers.
 *
 * <p>Invariants: a connection carries one exchange at a time; a request that must run at most once gets a new connection,
 * since one that was idle may be closed by the other side while the request is under way. Safe for use by several threads.
 */
public final class BackendClient {

    /** The time after which a connect is given up, in milliseconds. */
    private static final int CONNECT_MILLIS = 400;

    /** The time after which an idle connection is closed, in seconds. */
    private static final int IDLE_SECONDS = 4;

    /** The connections to one backend server. */
    private static final int CONNECTIONS = 120;

    /** The longest head of an answer in bytes. */
    private static final int HEAD_BYTES = 32_768;

    /** The client that keeps connections. */
    private final HttpClient keeping;

    /** The client that opens a connection for each request. */
    private final HttpClient single;

    /**
     * Creates a client.
     *
     * @param vertx The Vert.x instance.
     */
    public BackendClient(Vertx vertx) {
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS);
        keeping = vertx.createHttpClient(options().setKeepAliveTimeout(IDLE_SECONDS), pool);
        single = vertx.createHttpClient(options().setKeepAlive(false), new PoolOptions(pool));
    }

    /**
     * Opens a request.
     *
     * @param request The request of the caller.
     * @param backend The backend server.
     * @return The request, nothing of which is sent yet, or a failure after which it is certain that nothing was sent.
     */
    Future<HttpClientRequest> open(ProxyRequest request, Backend backend) {
        RequestOptions options = new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(
                        backend.address().port(), backend.address().host()))
                .setHost(backend.address().host())
                .setPort(backend.address().port())
                .setMethod(request.method())
                .setURI(request.uri())
                .putHeader(HttpHeaders.HOST, request.host());
        boolean reuse = request.route().kind().mayRetry();
        return (reuse ? keeping : single).request(options);
    }

    /**
     * Returns the options of both clients.
     *
     * @return The options.
     */
    private static HttpClientOptions options() {
        return new HttpClientOptions()
                .setConnectTimeout(CONNECT_MILLIS)
                .setTcpNoDelay(true)
                .setPipelining(false)
                .setDecompressionSupported(false)
                .setMaxHeaderSize(HEAD_BYTES);
    }
}
