package org.cranberrygauge.runtime.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Reads requests like Vert.x, but takes one with both a length and a transfer encoding as invalid.
 *
 * <p>Of such a request each reader may see another end, so that a part of its body could be read as a request of its own. The
 * server answers 400 and closes the connection. Used by the event loop of its connection.
 */
public final class StrictRequestDecoder extends VertxHttpRequestDecoder {

    /** The name that Vert.x gives its decoder in the pipeline. */
    private static final String DECODER = "httpDecoder";

    /**
     * Creates a decoder.
     *
     * @param options The options of the server.
     */
    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /**
     * Replaces the decoder of a connection that has just been opened.
     *
     * @param connection The connection.
     * @param options The options of its server.
     */
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
