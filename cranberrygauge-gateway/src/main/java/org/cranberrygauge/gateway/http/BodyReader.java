package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * Reads the body of a request within a size limit and a timeout.
 *
 * <p>Used on the context of the request.
 */
final class BodyReader {

    private BodyReader() {}

    /**
     * Reads a body.
     *
     * @return The body, or a {@link CranberrygaugeException} if it is too large, late or incomplete.
     */
    static Future<Buffer> read(Vertx vertx, HttpServerRequest request, int limitBytes, long timeoutMillis) {
        Promise<Buffer> promise = Promise.promise();
        if (contentLength(request) > limitBytes) {
            fail(promise, ErrorCode.TOO_LARGE, "the body is larger than " + limitBytes + " bytes");
            return promise.future();
        }
        Buffer body = Buffer.buffer();
        long timer = vertx.setTimer(
                timeoutMillis, ignored -> fail(promise, ErrorCode.REQUEST_TIMEOUT, "the body did not arrive in time"));
        request.handler(part -> {
            if (promise.future().isComplete()) {
                return;
            }
            if (body.length() + part.length() > limitBytes) {
                fail(promise, ErrorCode.TOO_LARGE, "the body is larger than " + limitBytes + " bytes");
                return;
            }
            body.appendBuffer(part);
        });
        request.exceptionHandler(failure -> fail(promise, ErrorCode.INVALID_REQUEST, "the body ended prematurely"));
        request.endHandler(end -> promise.tryComplete(body));
        return promise.future().onComplete(done -> vertx.cancelTimer(timer));
    }

    /** Returns the value of the Content-Length header in bytes; 0 if there is none. */
    private static long contentLength(HttpServerRequest request) {
        try {
            return Long.parseLong(request.getHeader("Content-Length"));
        } catch (NumberFormatException exception) {
            return 0;
        }
    }

    private static void fail(Promise<Buffer> promise, ErrorCode code, String message) {
        promise.tryFail(new CranberrygaugeException(code, message));
    }
}
