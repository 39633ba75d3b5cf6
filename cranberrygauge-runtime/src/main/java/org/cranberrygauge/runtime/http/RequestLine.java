package org.cranberrygauge.runtime.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes the first line of an HTTP/1 request.
 *
 * <p>A request head that is cut off and followed by another one is decoded as one head: the request line of the second becomes
 * the end of a header value of the first. Stateless and thread-safe.
 */
final class RequestLine {

    /** What a request line ends with, but for its minor version. */
    private static final String PROTOCOL = " HTTP/1.";

    private static final Pattern PATTERN = Pattern.compile("\\S (/\\S*|\\*|\\w+://\\S+)" + PROTOCOL + "\\d$");

    private RequestLine() {}

    /** Tells whether a header value ends with a request line. The mere name of a protocol is none. */
    static boolean isWithin(HttpRequest head) {
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            CharSequence value = headers.next().getValue();
            if (AsciiString.contains(value, PROTOCOL) && PATTERN.matcher(value).find()) {
                return true;
            }
        }
        return false;
    }
}
