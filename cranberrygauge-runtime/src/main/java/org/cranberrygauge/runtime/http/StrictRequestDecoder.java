package org.cranberrygauge.runtime.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * A request decoder that, unlike that of Vert.x, rejects requests with both Content-Length and Transfer-Encoding.
 *
 * <p>Parsers disagree on where the body of such a request ends, so that part of it could be processed as another
 * request (request smuggling). The server responds with 400 and closes the connection. Used by the event loop of its
 * connection.
 */
public final class StrictRequestDecoder extends VertxHttpRequestDecoder {

    /** The name of the Vert.x decoder in the channel pipeline. */
    private static final String DECODER = "httpDecoder";

    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Replaces the decoder of a connection that has just been opened. */
    public static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        if (pipeline.get(DECODER) != null) {
            pipeline.replace(DECODER, DECODER, new StrictRequestDecoder(options));
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
