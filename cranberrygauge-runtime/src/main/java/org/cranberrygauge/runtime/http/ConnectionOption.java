package org.cranberrygauge.runtime.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/** Options of a connection in the headers of a response. Stateless and thread-safe. */
final class ConnectionOption {

    private ConnectionOption() {}

    /** Adds the option to close the connection after a response before all others, of which the client reads the first alone. */
    static void closeAfter(HttpHeaders responseHeaders) {
        List<String> options = new ArrayList<>();
        options.add(HttpHeaderValues.CLOSE.toString());
        options.addAll(responseHeaders.getAll(HttpHeaderNames.CONNECTION));
        responseHeaders.set(HttpHeaderNames.CONNECTION, options);
    }
}
