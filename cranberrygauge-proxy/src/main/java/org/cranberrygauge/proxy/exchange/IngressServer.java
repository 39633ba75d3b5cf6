package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.http.StrictRequestDecoder;

/**
 * The server that callers connect to.
 *
 * <p>Safe for use by several threads.
 */
public final class IngressServer {

    /** The longest head of a request in bytes. */
    private static final int HEAD_BYTES = 65_536;

    /** The longest first line of a request in bytes. */
    private static final int LINE_BYTES = 16_384;

    /** The connections that may wait to be accepted. */
    private static final int BACKLOG = 1_024;

    /** The server. */
    private final HttpServer server;

    /**
     * Creates a server.
     *
     * @param vertx The Vert.x instance.
     * @param handler Takes requests.
     */
    public IngressServer(Vertx vertx, CallerHandler handler) {
        HttpServerOptions options = new HttpServerOptions()
                .setHttp2ClearTextEnabled(false)
                .setTcpNoDelay(true)
                .setAcceptBacklog(BACKLOG)
                .setMaxHeaderSize(HEAD_BYTES)
                .setMaxInitialLineLength(LINE_BYTES)
                .setHandle100ContinueAutomatically(true);
        server = vertx.createHttpServer(options)
                .connectionHandler(connection -> StrictRequestDecoder.install(connection, options))
                .invalidRequestHandler(handler::handleInvalid)
                .requestHandler(handler);
    }

    /**
     * Starts to listen.
     *
     * @param address The address.
     * @return The end of the start.
     */
    public Future<Void> listen(NetworkAddress address) {
        return server.listen(address.port(), address.host()).mapEmpty();
    }
}
