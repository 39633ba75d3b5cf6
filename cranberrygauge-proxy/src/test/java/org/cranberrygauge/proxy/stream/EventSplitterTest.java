package org.cranberrygauge.proxy.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

    private final EventSplitter splitter = new EventSplitter();

    @Test
    void returnsCompleteEventsOnly() {
        assertThat(splitter.append(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda")).toString())
                .isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.hasPartialEvent()).isTrue();
        assertThat(splitter.append(Buffer.buffer("ta: b\n\n")).toString()).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @Test
    void keepsAllBytesInOrderWhereverTheStreamIsSplit() {
        String stream = "id:1\ndata: a\n\nx-version: 3\nid:2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
        for (int split = 1; split < stream.length(); split++) {
            EventSplitter fresh = new EventSplitter();
            String forwarded =
                    fresh.append(Buffer.buffer(stream.substring(0, split))).toString()
                            + fresh.append(Buffer.buffer(stream.substring(split)));
            assertThat(forwarded).isEqualTo(stream);
            assertThat(fresh.hasPartialEvent()).isFalse();
        }
    }

    /** Guards against searching the whole partial event again with each piece, which takes quadratic time. */
    @Test
    void examinesEachByteOfALongEventOnce() {
        Buffer piece = Buffer.buffer("x".repeat(100));
        for (int number = 0; number < 10_000; number++) {
            assertThat(splitter.append(piece).length()).isZero();
        }
        assertThat(splitter.append(Buffer.buffer("\n\n")).length()).isEqualTo(1_000_002);
        assertThat(splitter.examinedBytes()).isLessThanOrEqualTo(1_000_002);
    }

    /** Guards against a backend server that fills the memory with an event that never ends. */
    @Test
    void retainsABoundedPartOfAnEventThatNeverEnds() {
        Buffer piece = Buffer.buffer(new byte[64 << 10]);
        for (int number = 0; number < 1_024; number++) {
            assertThat(splitter.append(piece).length()).isZero();
            assertThat(splitter.partialBytes()).isLessThanOrEqualTo(EventSplitter.MAXIMUM_EVENT_BYTES);
        }
        assertThat(splitter.isTooLong()).isTrue();
        assertThat(splitter.partialBytes()).isZero();
    }
}
