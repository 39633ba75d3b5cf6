package org.cranberrygauge.runtime.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.IntConsumer;

/**
 * Reads the bodies of responses into memory.
 *
 * <p>Invariant: no more of a body is kept than the caller allows, however long the server goes on. Stateless and thread-safe.
 */
public final class ResponseBody {

    private ResponseBody() {}

    /**
     * Reads a whole body. Called on the context of the response, before anything of the body was read.
     *
     * @param maximumBytes The maximum size of the body in bytes.
     * @return The body. Fails if it breaks off, or if it exceeds the maximum, whereupon its connection is closed.
     */
    public static Future<Buffer> read(HttpClientResponse response, int maximumBytes) {
        return read(response, maximumBytes, part -> {});
    }

    /**
     * Reads a whole body as {@link #read(HttpClientResponse, int)} does, and tells of its progress.
     *
     * @param received Called with the size of each part of the body that was added to it, in bytes.
     */
    public static Future<Buffer> read(HttpClientResponse response, int maximumBytes, IntConsumer received) {
        Promise<Buffer> whole = Promise.promise();
        Buffer body = Buffer.buffer();
        response.exceptionHandler(whole::tryFail);
        response.endHandler(end -> whole.tryComplete(body));
        response.handler(part -> {
            if (whole.future().isComplete()) {
                return;
            }
            if (part.length() > maximumBytes - body.length()) {
                whole.tryFail(new TooLongException(maximumBytes));
                response.request().reset();
                return;
            }
            body.appendBuffer(part);
            received.accept(part.length());
        });
        return whole.future();
    }

    /** A body exceeds its maximum size. */
    public static final class TooLongException extends Exception {

        private static final long serialVersionUID = 1L;

        TooLongException(int maximumBytes) {
            super("the body of a response exceeds " + maximumBytes + " bytes", null, false, false);
        }
    }
}
