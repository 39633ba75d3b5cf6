package org.cranberrygauge.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;

/**
 * A request decoder that, unlike that of Vert.x, rejects requests of which part may belong to another request: those with both
 * Content-Length and Transfer-Encoding, with several Host headers, or with a header that ends with a request line.
 *
 * <p>Parsers disagree on where the body of a request with both ends, so that part of it could be processed as another request
 * (request smuggling). A request that is cut off within its head would be joined with the one behind it, and run with the key
 * or the path of another caller. The server responds with 400 and closes the connection. Used by the event loop of its
 * connection.
 */
public final class StrictRequestDecoder extends VertxHttpRequestDecoder {

    /** The name of the Vert.x decoder in the channel pipeline. */
    private static final String DECODER = "httpDecoder";

    private final HeadListener heads;

    /** Whether the head of a request has begun and is not complete. */
    private boolean withinHead;

    /** Whether the body of a request has begun and is not complete. */
    private boolean withinBody;

    private StrictRequestDecoder(HttpServerOptions options, HeadListener heads) {
        super(options);
        this.heads = heads;
    }

    /** Replaces the decoder of a connection that has just been opened. */
    static void install(HttpConnection connection, HttpServerOptions options, HeadListener heads) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        if (pipeline.get(DECODER) != null) {
            pipeline.replace(DECODER, DECODER, new StrictRequestDecoder(options, heads));
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
        if (!withinHead && !withinBody && holdsText(bytes)) {
            withinHead = true;
            heads.onHeadBegun();
        }
        int earlier = messages.size();
        super.decode(context, bytes, messages);
        for (Object message : messages.subList(earlier, messages.size())) {
            if (message instanceof HttpRequest request) {
                endHead();
                if (request.decoderResult().isSuccess()) {
                    examine(request);
                }
            }
            if (message instanceof LastHttpContent) {
                withinBody = false;
            }
        }
    }

    private void endHead() {
        withinBody = true;
        if (withinHead) {
            withinHead = false;
            heads.onHeadEnded();
        }
    }

    /** Tells whether there is more than the empty lines that may precede a request. */
    private static boolean holdsText(ByteBuf bytes) {
        return bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
    }

    private static void examine(HttpRequest request) {
        if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            reject(request, "several Host headers");
        } else if (RequestLine.isWithin(request)) {
            reject(request, "a header ends with a request line");
        }
    }

    private static void reject(HttpRequest request, String reason) {
        request.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(reason)));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
