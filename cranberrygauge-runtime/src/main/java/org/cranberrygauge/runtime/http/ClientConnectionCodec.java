package org.cranberrygauge.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
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
 * <p>A server may write bytes that answer no request, such as an earlier response once more, whole or cut off. Invariants:
 *
 * <ul>
 *   <li>A connection carries one exchange at a time.
 *   <li>Bytes that come while no request is in progress are dropped, and no request is sent after them, unless they are line
 *       ends. The connection is not closed here, since the response before them may not be delivered yet.
 *   <li>A head that holds a second status line fails the connection. The first head of a connection may hold one in a
 *       header, since no earlier response can precede it, unless it is plain that the server began its response anew; the
 *       connection ends after that response.
 *   <li>A body of a stated length that holds a status line fails if bytes follow it that don't begin a response, since it may
 *       have broken off and been filled with another response.
 * </ul>
 *
 * <p>Used by the event loop of its connection.
 */
final class ClientConnectionCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {

    /** The name of the Vert.x codec in the channel pipeline. */
    private static final String CODEC = "codec";

    private static final AttributeKey<ClientConnectionCodec> ATTRIBUTE =
            AttributeKey.valueOf(ClientConnectionCodec.class, "codec");

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

    ClientConnectionCodec(String server, HttpClientOptions options, EventLog events) {
        this.server = server;
        this.events = events;
        init(new ResponseDecoder(options), new HttpRequestEncoder());
    }

    /** Replaces the codec of a connection that has just been opened. */
    static void install(HttpConnection connection, HttpClientOptions options, EventLog events) {
        Channel channel = ((ConnectionBase) connection).channel();
        ClientConnectionCodec codec =
                new ClientConnectionCodec(String.valueOf(connection.remoteAddress()), options, events);
        channel.pipeline().replace(CODEC, CODEC, codec);
        channel.attr(ATTRIBUTE).set(codec);
    }

    /** Returns the codec of a connection, also after its end, which removes it from the pipeline. */
    static ClientConnectionCodec of(HttpConnection connection) {
        return ((ConnectionBase) connection).channel().attr(ATTRIBUTE).get();
    }

    /** Tells whether a request may be sent. */
    boolean isUsable() {
        return !failed;
    }

    /** Tells whether the connection has carried a response. */
    boolean isKept() {
        return responses > 0;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise written) throws Exception {
        if (message instanceof HttpRequest request) {
            method = request.method();
        }
        super.write(context, message, written);
    }

    private static boolean isBlank(ByteBuf bytes) {
        return bytes.forEachByte(next -> next == '\r' || next == '\n') < 0;
    }

    private static boolean isLikeResponse(ByteBuf bytes) {
        int length = Math.min(bytes.readableBytes(), RESPONSE_START.length());
        String start = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
        return RESPONSE_START.startsWith(start);
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

        /** Whether the response that is decoded states the length of its body. */
        private boolean sized;

        private StatusLineSearch body = new StatusLineSearch();

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
                refuse(bytes, Moment.IDLE);
                return;
            }
            int first = messages.size();
            super.decode(context, bytes, messages);
            for (int index = first; index < messages.size(); index++) {
                messages.set(index, examine(messages.get(index), bytes));
            }
        }

        /** Returns a decoded message, or in its place a failure. */
        private Object examine(Object message, ByteBuf following) {
            if (message instanceof HttpResponse response) {
                informational = isInformational(response);
                sized = HttpUtil.isContentLengthSet(response);
                body = new StatusLineSearch();
                examineHead(response);
            }
            if (sized && message instanceof HttpContent content) {
                body.append(content.content());
            }
            if (informational || !(message instanceof LastHttpContent)) {
                return message;
            }
            method = null;
            responses++;
            return following.isReadable() && !failed ? examineEnd((LastHttpContent) message, following) : message;
        }

        /** Returns the end of a response that other bytes follow, or in its place a failure. */
        private LastHttpContent examineEnd(LastHttpContent end, ByteBuf following) {
            boolean joined = !isBlank(following)
                    && !isLikeResponse(following)
                    && (body.isFound() || body.isCompletedBy(following));
            refuse(following, Moment.AFTER_RESPONSE);
            if (!joined) {
                return end;
            }
            end.release();
            LastHttpContent failure = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
            failure.setDecoderResult(DecoderResult.failure(new SecondStatusLineException("body")));
            return failure;
        }

        private void examineHead(HttpResponse response) {
            if (!StatusLine.isWithin(response)) {
                return;
            }
            events.emit(new ConnectionEvents.SecondStatusLine(
                    server, response.status().code(), responses));
            if (responses == 0 && !StatusLine.isOfSecondHead(response)) {
                ConnectionOption.closeAfter(response.headers());
                return;
            }
            failed = true;
            response.setDecoderResult(DecoderResult.failure(new SecondStatusLineException("head")));
        }

        /** Drops bytes that belong to no response; no request follows them, unless they are line ends. */
        private void refuse(ByteBuf bytes, Moment moment) {
            if (!isBlank(bytes)) {
                failed = true;
                events.emit(new ConnectionEvents.UnsolicitedBytes(
                        server, moment.name(), bytes.readableBytes(), isLikeResponse(bytes), responses));
            }
            bytes.skipBytes(bytes.readableBytes());
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
        }
    }

    /** A response may be made of two. */
    private static final class SecondStatusLineException extends Exception {

        private static final long serialVersionUID = 1L;

        /** @param part The part of the response that holds it. */
        SecondStatusLineException(String part) {
            super("the " + part + " of a response holds a second status line", null, false, false);
        }
    }
}
