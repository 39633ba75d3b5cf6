package org.cranberrygauge.runtime.http;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import java.util.Arrays;

/**
 * Tells how the recipient of an HTTP/1.1 response knows that it is complete.
 *
 * <p>A response with neither a length nor chunks ends with its connection, which also ends when the sender fails. Stateless
 * and thread-safe.
 */
public final class ResponseFraming {

    private static final int NO_CONTENT_STATUS = 204;

    private static final int NOT_MODIFIED_STATUS = 304;

    private static final String CHUNKED = "chunked";

    private ResponseFraming() {}

    /** Tells whether more than the end of the connection shows that a response to a request of this method is complete. */
    public static boolean isFramed(HttpMethod method, int status, MultiMap headers) {
        return HttpMethod.HEAD.equals(method)
                || status == NO_CONTENT_STATUS
                || status == NOT_MODIFIED_STATUS
                || isChunked(headers)
                || headers.contains(HttpHeaders.CONTENT_LENGTH);
    }

    public static boolean isChunked(MultiMap headers) {
        return headers.getAll(HttpHeaders.TRANSFER_ENCODING).stream()
                .flatMap(codings -> Arrays.stream(codings.split(",")))
                .anyMatch(coding -> coding.trim().equalsIgnoreCase(CHUNKED));
    }
}
