package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import org.junit.jupiter.api.Test;

class ResponseFramingTest {

    private final MultiMap headers = MultiMap.caseInsensitiveMultiMap();

    @Test
    void aResponseWithNeitherLengthNorChunksIsNotFramed() {
        assertThat(isFramed(HttpMethod.GET, 200)).isFalse();
        headers.add("Transfer-Encoding", "identity");
        assertThat(isFramed(HttpMethod.GET, 200)).isFalse();
    }

    @Test
    void aLengthOrChunksFrameAResponse() {
        headers.add("Transfer-Encoding", "gzip, Chunked");
        assertThat(isFramed(HttpMethod.GET, 200)).isTrue();
        headers.clear();
        headers.add("Content-Length", "0");
        assertThat(isFramed(HttpMethod.GET, 200)).isTrue();
    }

    @Test
    void aResponseThatNeverHasABodyIsFramed() {
        assertThat(isFramed(HttpMethod.HEAD, 200)).isTrue();
        assertThat(isFramed(HttpMethod.GET, 204)).isTrue();
        assertThat(isFramed(HttpMethod.GET, 304)).isTrue();
    }

    private boolean isFramed(HttpMethod method, int status) {
        return ResponseFraming.isFramed(method, status, headers);
    }
}
