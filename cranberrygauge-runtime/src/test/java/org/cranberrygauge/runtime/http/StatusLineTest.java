package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StatusLineTest {

    /** Guards against a second status line that the decoder would accept as one, and that is not recognized within a head (issue 59, MIXED). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 Error",
                "HTTP/1.1 500",
                "HTTP/1.0 500 Error",
                "HTTP/1.1  500 Error",
                "HTTP/1.1\t500 Error",
                "HTTP/1.1 0500 Error"
            })
    void eachStatusLineThatTheDecoderAcceptsIsRecognizedWithinAHead(String statusLine) {
        assertThat(decode(statusLine + "\r\n\r\n").status().code()).isEqualTo(500);
        assertThat(StatusLine.isWithin(decode("HTTP/1.1 200 OK\r\nKeep-Alive: timeo" + statusLine + "\r\n\r\n")))
                .isTrue();
    }

    /** Guards against harm to a body that mentions a status line, and is no second response to its request. */
    @Test
    void aBodyHoldsASecondResponseOnlyIfTheIdentifierOfItsRequestFollowsTheStatusLine() {
        String head = "HTTP/1.1 500 Error\r\nName: request-1\r\n\r\n";
        assertThat(StatusLine.isWithin(Buffer.buffer("begun " + head), "request-1"))
                .isTrue();
        assertThat(StatusLine.isWithin(Buffer.buffer("begun " + head), "request-2"))
                .isFalse();
        assertThat(StatusLine.isWithin(Buffer.buffer("request-1 HTTP/1.1 500"), "request-1"))
                .isFalse();
        assertThat(StatusLine.isWithin(Buffer.buffer("request-1"), "request-1")).isFalse();
    }

    private static HttpResponse decode(String head) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());
        channel.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
        HttpResponse response = channel.readInbound();
        channel.finishAndReleaseAll();
        return response;
    }
}
