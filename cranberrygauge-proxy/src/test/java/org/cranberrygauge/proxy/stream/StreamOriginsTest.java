package org.cranberrygauge.proxy.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StreamOriginsTest {

    private static final StreamOrigin OLDER = new StreamOrigin("engines", "v1");

    private static final StreamOrigin NEWER = new StreamOrigin("engines", "v2");

    private final StreamOrigins origins = new StreamOrigins();

    @Test
    void theFirstOriginOfAStreamHolds() {
        origins.record(0, "a", OLDER);
        origins.record(10, "a", NEWER);
        assertThat(origins.find("a")).contains(OLDER);
        assertThat(origins.find("b")).isEmpty();
    }

    @Test
    void aStreamIsRemovedSomeTimeAfterItWasResumedLast() {
        origins.record(0, "a", OLDER);
        origins.record(0, "b", OLDER);
        origins.record(50_000, "a", OLDER);
        origins.record(61_000, "c", NEWER);
        assertThat(origins.find("a")).contains(OLDER);
        assertThat(origins.find("b")).isEmpty();
        origins.record(120_000, "d", NEWER);
        assertThat(origins.find("a")).isEmpty();
    }

    @Test
    void theNumberOfStreamsIsBounded() {
        for (int stream = 0; stream < 30_000; stream++) {
            origins.record(stream / 1_000, "stream-" + stream, OLDER);
        }
        assertThat(origins.find("stream-0")).isEmpty();
        assertThat(origins.find("stream-9999")).isEmpty();
        assertThat(origins.find("stream-10000")).contains(OLDER);
        assertThat(origins.find("stream-29999")).contains(OLDER);
    }
}
