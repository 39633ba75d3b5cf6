package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientOptions;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.runtime.event.Event;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClientConnectionCodecTest {

    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\nName: first\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok";

    private static final String ERROR =
            "HTTP/1.1 500 Internal Server Error\r\nName: second\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nerror";

    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nName: third\r\n\r\n";

    private final List<Event> events = new ArrayList<>();

    private EmbeddedChannel channel = open();

    /** Guards against a part of a head that waits in the decoder for the next response (issue 59). */
    @Test
    void noRequestFollowsBytesAfterAResponseWhereverTheyAreCutOff() {
        for (int length = 1; length <= SUCCESS.length(); length++) {
            channel = open();
            send(HttpMethod.GET);
            assertThat(receive(SUCCESS + SUCCESS.substring(0, length))).isEqualTo("200 ok");
            assertThat(isUsable()).isFalse();
        }
        assertThat(events)
                .hasSize(SUCCESS.length())
                .allSatisfy(event -> assertThat(event)
                        .isInstanceOfSatisfying(ConnectionEvents.UnsolicitedBytes.class, unsolicited -> {
                            assertThat(unsolicited.moment()).isEqualTo("AFTER_RESPONSE");
                            assertThat(unsolicited.likeResponse()).isTrue();
                        }));
    }

    /** Guards against the same where the bytes arrive later (issue 59). */
    @Test
    void noRequestFollowsBytesOnAnIdleConnection() {
        for (int length = 1; length <= SUCCESS.length(); length++) {
            channel = open();
            send(HttpMethod.GET);
            receive(SUCCESS);
            assertThat(isUsable()).isTrue();
            assertThat(receive(SUCCESS.substring(0, length))).isEmpty();
            assertThat(isUsable()).isFalse();
        }
    }

    /** Guards against a server that writes before the first request. */
    @Test
    void noRequestFollowsBytesBeforeTheFirstRequest() {
        assertThat(receive(SUCCESS)).isEmpty();
        assertThat(isUsable()).isFalse();
    }

    /** Guards against the status of a part of a head that comes after the next request was sent (issue 59). */
    @Test
    void noPartOfAHeadGivesItsStatusToTheNextResponse() {
        int headLength = SUCCESS.indexOf("\r\n\r\n");
        for (int length = 1; length < headLength; length++) {
            channel = open();
            send(HttpMethod.GET);
            receive(SUCCESS);
            send(HttpMethod.GET);
            assertThat(receive(SUCCESS.substring(0, length) + ERROR))
                    .as("after %s", SUCCESS.substring(0, length))
                    .doesNotStartWith("200");
        }
    }

    /** Guards against a response that the server begins anew within its head, on a connection that carried none before. */
    @Test
    void noPartOfAHeadGivesItsStatusToTheFirstResponse() {
        int headLength = SUCCESS.indexOf("\r\n\r\n");
        for (int length = 1; length < headLength; length++) {
            channel = open();
            send(HttpMethod.GET);
            assertThat(receive(SUCCESS.substring(0, length) + ERROR))
                    .as("after %s", SUCCESS.substring(0, length))
                    .doesNotStartWith("200");
        }
    }

    /** Guards against harm to servers that name a protocol in a header. */
    @ParameterizedTest
    @ValueSource(strings = {"Via: HTTP/1.1 proxy", "Upgrade: HTTP/2.0, websocket", "Server: thing (HTTP/1.1)"})
    void headersThatNameAProtocolKeepTheConnection(String header) {
        for (int round = 0; round < 3; round++) {
            send(HttpMethod.GET);
            assertThat(receive("HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 2\r\n\r\nok"))
                    .isEqualTo("200 ok");
        }
        assertThat(isUsable()).isTrue();
        assertThat(events).isEmpty();
    }

    /** Guards against harm to servers that report the status of another server in a header. */
    @Test
    void theFirstResponseMayHoldAStatusLineInAHeaderAndEndsItsConnection() {
        send(HttpMethod.GET);
        channel.writeInbound(
                bytes("HTTP/1.1 200 OK\r\nOrigin-Status: HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"));
        HttpResponse response = channel.readInbound();
        assertThat(response.decoderResult().isSuccess()).isTrue();
        assertThat(response.headers().get(HttpHeaderNames.CONNECTION)).isEqualTo("close");
    }

    /** Guards against a stated length that is filled with a second response. */
    @Test
    void aBodyThatBrokeOffAndWasFilledWithAnotherResponseFails() {
        for (int length = SUCCESS.indexOf("ok"); length < SUCCESS.length(); length++) {
            channel = open();
            send(HttpMethod.GET);
            String stated = SUCCESS.replace("Content-Length: 2", "Content-Length: 40");
            int broken = stated.indexOf("ok") + length - SUCCESS.indexOf("ok");
            assertThat(receive(stated.substring(0, broken) + ERROR)).contains("failure");
        }
    }

    /** Guards against harm to a whole response that other bytes follow. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\nother bytes", "other bytes", "H"})
    void otherBytesAfterAResponseDoNoHarmToIt(String following) {
        send(HttpMethod.GET);
        assertThat(receive(SUCCESS + following)).isEqualTo("200 ok");
        assertThat(isUsable()).isFalse();
    }

    /** Guards against a response without a body whose stated length is awaited. */
    @Test
    void aResponseToAHeadRequestHasNoBody() {
        for (int round = 0; round < 3; round++) {
            send(HttpMethod.HEAD);
            assertThat(receive("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")).isEqualTo("200 ");
        }
        assertThat(isUsable()).isTrue();
    }

    /** Guards against an informational response that is taken for the end of the exchange. */
    @Test
    void aResponseMayFollowAnInformationalOne() {
        send(HttpMethod.POST);
        assertThat(receive("HTTP/1.1 100 Continue\r\n\r\n" + SUCCESS)).isEqualTo("100 200 ok");
        assertThat(isUsable()).isTrue();
    }

    /** Guards against harm to servers that write a head in several packets. */
    @Test
    void aHeadMayArriveByteByByte() {
        for (int round = 0; round < 2; round++) {
            send(HttpMethod.GET);
            StringBuilder received = new StringBuilder();
            for (char next : SUCCESS.toCharArray()) {
                received.append(receive(String.valueOf(next)));
            }
            assertThat(received).hasToString("200 ok");
        }
        assertThat(isUsable()).isTrue();
    }

    /** Guards against a new connection for each request to servers that end a body with an empty line. */
    @Test
    void lineEndsBetweenResponsesKeepTheConnection() {
        for (int round = 0; round < 3; round++) {
            send(HttpMethod.GET);
            assertThat(receive(SUCCESS + "\r\n")).isEqualTo("200 ok");
            assertThat(receive("\r\n")).isEmpty();
        }
        assertThat(isUsable()).isTrue();
        assertThat(events).isEmpty();
    }

    @Test
    void theEndOfTheStreamEndsAResponseWithoutFraming() {
        send(HttpMethod.GET);
        assertThat(receive(UNFRAMED + "whole")).isEqualTo("200 whole");
        endStream();
        assertThat(channel.isOpen()).isFalse();
        assertThat((Object) channel.inboundMessages().peek()).isInstanceOf(LastHttpContent.class);
        assertThat(decoded()).isEmpty();
    }

    /** Guards against a response whose connection is reset, or ends on this side, and that counts as whole (issue 65). */
    @Test
    void noOtherEndOfTheConnectionEndsAResponseWithoutFraming() {
        for (Runnable end : List.<Runnable>of(this::close, this::reset)) {
            for (String received : new String[] {UNFRAMED, UNFRAMED + "a part"}) {
                channel = open();
                send(HttpMethod.GET);
                receive(received);
                end.run();
                assertThat(channel.isOpen()).isFalse();
                assertThat(decoded()).isEqualTo("failure ");
            }
        }
    }

    /** Guards against a success that counts as whole although its server did not read the request (issue 65). */
    @Test
    void theEndOfTheStreamEndsNoSuccessWhoseRequestIsStillBeingWritten() {
        channel.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", bytes("body")));
        assertThat(receive(UNFRAMED + "a part")).isEqualTo("200 a part");
        endStream();
        assertThat(decoded()).isEqualTo("failure ");
    }

    /** Guards against the loss of a rejection that a server sends before it has read the request. */
    @Test
    void theEndOfTheStreamEndsARejectionWhoseRequestIsStillBeingWritten() {
        channel.write(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", bytes("body")));
        assertThat(receive("HTTP/1.1 413 Too Large\r\n\r\ntoo long")).isEqualTo("413 too long");
        endStream();
        assertThat(decoded()).isEmpty();
    }

    /** Ends the stream of the server, as Netty reports it. */
    private void endStream() {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }

    /** Lets a read fail, as Netty reports it. */
    private void reset() {
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        assertThat(catchThrowable(channel::checkException)).isInstanceOf(IOException.class);
        endStream();
    }

    private void close() {
        channel.close();
    }

    private boolean isUsable() {
        return channel.pipeline().get(ClientConnectionCodec.class).isUsable();
    }

    private EmbeddedChannel open() {
        return new EmbeddedChannel(new ClientConnectionCodec("server", new HttpClientOptions(), events::add));
    }

    private void send(HttpMethod method) {
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
        ReferenceCountUtil.release(channel.readOutbound());
    }

    /** Returns what is decoded of some bytes: statuses, bodies, and "failure" for each message that can't be decoded. */
    private String receive(String text) {
        channel.writeInbound(bytes(text));
        return decoded();
    }

    /** Returns what is decoded and not read yet. */
    private String decoded() {
        StringBuilder decoded = new StringBuilder();
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            decoded.append(describe(message));
            ReferenceCountUtil.release(message);
        }
        return decoded.toString();
    }

    private static String describe(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            return "failure ";
        }
        if (message instanceof HttpResponse response) {
            return response.status().code() + " ";
        }
        return ((HttpContent) message).content().toString(StandardCharsets.ISO_8859_1);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
