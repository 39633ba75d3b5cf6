package org.cranberrygauge.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * Encodes the requests and decodes the responses of a client's connection, so that no byte of one response becomes part of
 * another.
 *
 * <p>A server may write bytes that answer no request, such as an earlier response once more, whole or cut off. Invariants: a
 * connection carries one exchange at a time; bytes that come while no request is in progress are dropped and end the
 * connection, without harm to the response before them; after a first response, a head that holds a second status line
 * fails the connection. The first head of a connection may hold one, since nothing can precede it, and ends the connection
 * after its response. Used by the event loop of its connection.
 */
final class ClientConnectionCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {

    /** The name of the Vert.x codec in the channel pipeline. */
    private static final String CODEC = "codec";

    /** What each response begins with. */
    private static final String RESPONSE_START = "HTTP/1.";

    private final String server;

    private final EventLog events;

    /** The method of the request in progress; null if there is none. */
    private HttpMethod method;

    /** The number of final responses that have ended. */
    private int responses;

    /** Whether what follows is dropped. */
    private boolean failed;

    private ClientConnectionCodec(String server, HttpClientOptions options, EventLog events) {
        this.server = server;
        this.events = events;
        init(new ResponseDecoder(options), new HttpRequestEncoder());
    }

    /** Replaces the codec of a connection that has just been opened. */
    static void install(HttpConnection connection, HttpClientOptions options, EventLog events) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        String server = String.valueOf(connection.remoteAddress());
        pipeline.replace(CODEC, CODEC, new ClientConnectionCodec(server, options, events));
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise written) throws Exception {
        if (message instanceof HttpRequest request) {
            method = request.method();
        }
        super.write(context, message, written);
    }

    private static boolean isInformational(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /** When bytes came that belong to no response. */
    private enum Moment {
        AFTER_RESPONSE,
        IDLE
    }

    /** Decodes responses. */
    private final class ResponseDecoder extends HttpResponseDecoder {

        /** Whether the response that is decoded is not the last one to its request. */
        private boolean informational;

        private ResponseDecoder(HttpClientOptions options) {
            super(
                    options.getMaxInitialLineLength(),
                    options.getMaxHeaderSize(),
                    options.getMaxChunkSize(),
                    true,
                    options.getDecoderInitialBufferSize());
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
            if (failed) {
                bytes.skipBytes(bytes.readableBytes());
                return;
            }
            if (method == null) {
                refuse(context, bytes, Moment.IDLE);
                return;
            }
            int earlier = messages.size();
            super.decode(context, bytes, messages);
            for (Object message : messages.subList(earlier, messages.size())) {
                examine(context, message, bytes);
            }
        }

        private void examine(ChannelHandlerContext context, Object message, ByteBuf following) {
            if (message instanceof HttpResponse response) {
                informational = isInformational(response);
                examineHead(response);
            }
            if (message instanceof LastHttpContent && !informational) {
                method = null;
                responses++;
                if (following.isReadable()) {
                    refuse(context, following, Moment.AFTER_RESPONSE);
                }
            }
        }

        private void examineHead(HttpResponse response) {
            if (!StatusLine.isWithin(response)) {
                return;
            }
            events.emit(new ConnectionEvents.SecondStatusLine(
                    server, response.status().code(), responses));
            if (responses == 0) {
                ConnectionOption.closeAfter(response.headers());
                return;
            }
            failed = true;
            response.setDecoderResult(DecoderResult.failure(new SecondStatusLineException()));
        }

        /** Drops bytes that belong to no response, and closes the connection. */
        private void refuse(ChannelHandlerContext context, ByteBuf bytes, Moment moment) {
            int length = Math.min(bytes.readableBytes(), RESPONSE_START.length());
            String start = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
            events.emit(new ConnectionEvents.UnsolicitedBytes(
                    server, moment.name(), bytes.readableBytes(), RESPONSE_START.startsWith(start), responses));
            failed = true;
            bytes.skipBytes(bytes.readableBytes());
            context.close();
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
        }
    }
    /** The head of a response may be made of two responses. */
    private static final class SecondStatusLineException extends Exception {

        private static final long serialVersionUID = 1L;

        SecondStatusLineException() {
            super("the head of a response holds a second status line", null, false, false);
        }
    }
}
