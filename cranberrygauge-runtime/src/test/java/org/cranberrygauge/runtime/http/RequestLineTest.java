package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestLineTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "cliPOST /path HTTP/1.1",
                "GET * HTTP/1.0",
                "agent GET http://host/path?a=b HTTP/1.1",
                "OPTIONS / HTTP/1.1"
            })
    void aValueThatEndsWithARequestLineHoldsOne(String value) {
        assertThat(RequestLine.isWithin(request(value))).isTrue();
    }

    /** Guards against the rejection of requests whose headers name a protocol. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 proxy", "1.1 a, HTTP/1.1 b", "POST over HTTP/1.1", "HTTP/1.1", "GET /path HTTP/1.1 x"})
    void aValueThatNamesAProtocolHoldsNone(String value) {
        assertThat(RequestLine.isWithin(request(value))).isFalse();
    }

    private static HttpRequest request(String value) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().add("Via", value);
        return request;
    }
}
