package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StatusLineSearchTest {

    private static final String TEXT = "a body HHTTP/HTTP/1.1 500 Error";

    private final StatusLineSearch search = new StatusLineSearch();

    @Test
    void aStatusLineIsFoundWhereverTheBytesAreDivided() {
        for (int length = 0; length <= TEXT.length(); length++) {
            StatusLineSearch divided = new StatusLineSearch();
            divided.append(bytes(TEXT.substring(0, length)));
            divided.append(bytes(TEXT.substring(length)));
            assertThat(divided.isFound()).as("divided at %d", length).isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1", "HTTP/1.1 Via", "HTTP/x.1 500", "HTTP/1.1 50", "http/1.1 500"})
    void otherTextIsNoStatusLine(String text) {
        search.append(bytes(text));
        assertThat(search.isFound()).isFalse();
    }

    @Test
    void aStatusLineThatBeginsInTheBytesSoFarIsCompletedByOthers() {
        search.append(bytes("body HTTP/1.1 5"));
        assertThat(search.isCompletedBy(bytes("00 Error"))).isTrue();
        assertThat(search.isCompletedBy(bytes("0"))).isFalse();
        assertThat(search.isCompletedBy(bytes("xx HTTP/1.1 500"))).isFalse();
    }

    @Test
    void aStatusLineThatBeginsInOtherBytesCompletesNone() {
        search.append(bytes("body"));
        assertThat(search.isCompletedBy(bytes("HTTP/1.1 500 Error"))).isFalse();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
