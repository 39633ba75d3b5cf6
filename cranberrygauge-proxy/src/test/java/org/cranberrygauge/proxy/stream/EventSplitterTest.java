package org.cranberrygauge.proxy.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

    private final EventSplitter splitter = new EventSplitter();

    @Test
    void passesOnWholeEventsOnly() {
        assertThat(splitter.take(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda")).toString())
                .isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.lastId()).contains("1");
        assertThat(splitter.midEvent()).isTrue();
        assertThat(splitter.take(Buffer.buffer("ta: b\n\n")).toString()).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.lastId()).contains("2");
        assertThat(splitter.midEvent()).isFalse();
    }

    @Test
    void keepsEveryByteInOrderWhateverTheCuts() {
        String stream = "id:1\ndata: a\n\nx-version: 3\nid:2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
        for (int cut = 1; cut < stream.length(); cut++) {
            EventSplitter fresh = new EventSplitter();
            String passed = fresh.take(Buffer.buffer(stream.substring(0, cut))).toString()
                    + fresh.take(Buffer.buffer(stream.substring(cut)));
            assertThat(passed).isEqualTo(stream);
            assertThat(fresh.lastId()).contains("3");
            assertThat(fresh.midEvent()).isFalse();
        }
    }

    @Test
    void readsTheLastIdentifierOfSeveralEvents() {
        splitter.take(Buffer.buffer("id: 4\ndata: a\n\nid: 5\ndata: id: 9\n\n"));
        assertThat(splitter.lastId()).contains("5");
    }

    @Test
    void hasNoIdentifierBeforeTheFirstEvent() {
        splitter.take(Buffer.buffer("id: 1\n"));
        assertThat(splitter.lastId()).isEmpty();
    }
}
