package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * Reads the body of a request within a size and a time.
 *
 * <p>Used on the context of the request.
 */
final class BodyReader {

    /** Prevents instances. */
    private BodyReader() {}

    /**
     * Reads a body.
     *
     * @param vertx The Vert.x instance.
     * @param request The request.
     * @param limitBytes The largest size in bytes.
     * @param timeoutMillis The time in which the body must arrive in milliseconds.
     * @return The body, or a typed failure.
     */
    static Future<Buffer> read(Vertx vertx, HttpServerRequest request, int limitBytes, long timeoutMillis) {
        Promise<Buffer> promise = Promise.promise();
        if (statedLength(request) > limitBytes) {
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
        request.exceptionHandler(failure -> fail(promise, ErrorCode.INVALID_REQUEST, "the body broke off"));
        request.endHandler(end -> promise.tryComplete(body));
        return promise.future().onComplete(done -> vertx.cancelTimer(timer));
    }

    /**
     * Reads the length of the body as the caller states it.
     *
     * @param request The request.
     * @return The length in bytes; 0 if none is stated.
     */
    private static long statedLength(HttpServerRequest request) {
        try {
            return Long.parseLong(request.getHeader("Content-Length"));
        } catch (NumberFormatException exception) {
            return 0;
        }
    }

    /**
     * Fails unless done.
     *
     * @param promise The promise.
     * @param code The code.
     * @param message The message.
     */
    private static void fail(Promise<Buffer> promise, ErrorCode code, String message) {
        promise.tryFail(new CranberrygaugeException(code, message));
    }
}
