package org.cranberrygauge.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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
 *   <li>A response without a valid status, or with an invalid field name in its head, fails ({@link FieldLines}).
 *   <li>A head that holds a second status line fails the connection. The first head of a connection may hold one in a
 *       header, since no earlier response can precede it, unless it is plain that the server began its response anew; the
 *       connection ends after that response.
 *   <li>A body of a stated length that holds a status line fails if bytes follow it that don't begin a response, since it may
 *       have broken off and been filled with another response.
 *   <li>The end of the connection ends a response without framing only if the server ended its stream; a reset, a failed write
 *       and an end on this side leave the response incomplete. It ends no success while the request is still being written,
 *       since a server that did not read the request can't have processed it.
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

    /** The number of requests that the socket has not taken wholly. */
    private int unwrittenRequests;

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
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
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
            unwrittenRequests++;
        }
        super.write(context, message, message instanceof LastHttpContent ? countingDown(written) : written);
    }

    private ChannelPromise countingDown(ChannelPromise requestWritten) {
        return requestWritten.unvoid().addListener(done -> {
            if (done.isSuccess()) {
                unwrittenRequests--;
            }
        });
    }

    private static boolean isBlank(ByteBuf bytes) {
        return bytes.forEachByte(next -> next == '\r' || next == '\n') < 0;
    }

    private static boolean isLikeResponse(ByteBuf bytes) {
        int length = Math.min(bytes.readableBytes(), RESPONSE_START.length());
        String start = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
        return RESPONSE_START.startsWith(start);
    }

    private static LastHttpContent failedEnd(Exception cause) {
        LastHttpContent failure = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
        failure.setDecoderResult(DecoderResult.failure(cause));
        return failure;
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

        /** Whether the response that is decoded is a success. */
        private boolean success;

        private FieldLines fields = new FieldLines();

        private StatusLineSearch body = new StatusLineSearch();

        /** Whether a read has failed, as it does after a reset. */
        private boolean readFailed;

        /** Whether the server has ended its stream. */
        private boolean streamEnded;

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
            if (!fields.areValid(bytes)) {
                bytes.skipBytes(bytes.readableBytes());
                messages.add(failedHead());
                return;
            }
            int first = messages.size();
            super.decode(context, bytes, messages);
            for (int index = first; index < messages.size(); index++) {
                messages.set(index, examine(messages.get(index), bytes));
            }
        }

        private HttpMessage failedHead() {
            failed = true;
            HttpMessage failure = createInvalidMessage();
            failure.setDecoderResult(DecoderResult.failure(new InvalidFieldNameException()));
            return failure;
        }

        /** Notes a failed read, after which Netty reports the same event as after the end of a stream. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
            readFailed = true;
            super.exceptionCaught(context, cause);
        }

        /** Ends the response without framing, if there is one, when the server has ended its stream, and closes the connection. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (!(event instanceof ChannelInputShutdownEvent)) {
                super.userEventTriggered(context, event);
                return;
            }
            streamEnded = !readFailed;
            super.userEventTriggered(context, event);
            context.close();
        }

        /** Decodes what is left at the end of the connection. */
        @Override
        protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
                throws Exception {
            int first = messages.size();
            super.decodeLast(context, bytes, messages);
            if (method == null || endsResponse()) {
                return;
            }
            for (int index = first; index < messages.size(); index++) {
                if (messages.get(index) == LastHttpContent.EMPTY_LAST_CONTENT) {
                    messages.set(index, failedEnd(new IncompleteResponseException()));
                }
            }
        }

        /** Tells whether the end of the connection ends a response without framing. */
        private boolean endsResponse() {
            return streamEnded && !(success && unwrittenRequests > 0);
        }

        /** Returns a decoded message, or in its place a failure. */
        private Object examine(Object message, ByteBuf following) {
            if (message instanceof HttpResponse response) {
                informational = isInformational(response);
                success = response.status().codeClass() == HttpStatusClass.SUCCESS;
                sized = HttpUtil.isContentLengthSet(response);
                body = new StatusLineSearch();
                examineHead(response);
            }
            if (sized && message instanceof HttpContent content) {
                body.append(content.content());
            }
            if (!(message instanceof LastHttpContent)) {
                return message;
            }
            fields = new FieldLines();
            if (informational) {
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
            return failedEnd(new SecondStatusLineException("body"));
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

        /** Creates a response head; the decoder alone would take any number for a status, also one with a sign. */
        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            if (!StatusLine.isStatus(initialLine[1])) {
                throw new IllegalArgumentException("the status of a response is not valid");
            }
            return super.createMessage(initialLine);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
        }
    }

    /** The connection of a response without framing has ended, and the response may not have. */
    private static final class IncompleteResponseException extends Exception {

        private static final long serialVersionUID = 1L;

        IncompleteResponseException() {
            super("the connection ended within a response without framing", null, false, false);
        }
    }

    /** The head of a response has a field whose name is no token, or does not end with its colon. */
    private static final class InvalidFieldNameException extends Exception {

        private static final long serialVersionUID = 1L;

        InvalidFieldNameException() {
            super("the head of a response has an invalid field name", null, false, false);
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
