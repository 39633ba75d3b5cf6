package org.cranberrygauge.runtime.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AsciiString;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Recognizes the first line of an HTTP/1 response.
 *
 * <p>A response head that is cut off and followed by another one is decoded as one head: the status line of the second
 * becomes the end of a header value or of the reason phrase of the first. Stateless and thread-safe.
 */
public final class StatusLine {

    /** What a status line begins with. */
    private static final String PROTOCOL = "HTTP/";

    private static final Pattern PATTERN = Pattern.compile(PROTOCOL + "\\d\\.\\d\\s+\\d{3}");

    /** The valid statuses, from 100 to 599. */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private StatusLine() {}

    /** Tells whether a text is a valid status. */
    static boolean isStatus(String text) {
        return STATUS.matcher(text).matches();
    }

    /** Tells whether a head holds a status line beside its own. The mere name of a protocol is none. */
    static boolean isWithin(HttpResponse head) {
        return isWithin(head.status().reasonPhrase()) || isWithinHeader(head);
    }

    /**
     * Tells whether a head that holds a status line can't be that of one response: it has the line in its reason phrase, or
     * a header twice, as heads have that a server begins anew.
     */
    static boolean isOfSecondHead(HttpResponse head) {
        return isWithin(head.status().reasonPhrase()) || repeatsHeader(head.headers());
    }

    /**
     * Tells whether a body holds a status line and, after it, the identifier of its request: a part of the body and a second
     * response to the same request, which together have the stated length.
     */
    public static boolean isWithin(Buffer body, String requestId) {
        String text = body.toString(StandardCharsets.ISO_8859_1);
        if (!text.contains(PROTOCOL)) {
            return false;
        }
        Matcher found = PATTERN.matcher(text);
        return found.find() && text.indexOf(requestId, found.end()) >= 0;
    }

    private static boolean repeatsHeader(HttpHeaders headers) {
        Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        return headers.entries().stream().anyMatch(header -> !names.add(header.getKey()));
    }

    private static boolean isWithinHeader(HttpResponse head) {
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            if (isWithin(headers.next().getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isWithin(CharSequence text) {
        return AsciiString.contains(text, PROTOCOL) && PATTERN.matcher(text).find();
    }
}
