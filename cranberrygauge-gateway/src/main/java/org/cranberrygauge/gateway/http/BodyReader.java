package org.cranberrygauge.gateway.http;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * Reads the bodies of requests within a size limit and a timeout.
 *
 * <p>Safe for use by several threads; each body is read on the context of its request.
 */
final class BodyReader {

    private final int limitBytes;

    private final long timeoutMillis;

    /** The bodies that are being read, with the contexts of their requests. */
    private final Map<Promise<Buffer>, Context> reading = new ConcurrentHashMap<>();

    BodyReader(int limitBytes, long timeoutMillis) {
        this.limitBytes = limitBytes;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Reads a body. Called on the context of the request.
     *
     * @return The body, or a {@link CranberrygaugeException} if it is too large, late or incomplete.
     */
    Future<Buffer> read(Context context, HttpServerRequest request) {
        Promise<Buffer> promise = Promise.promise();
        if (contentLength(request) > limitBytes) {
            fail(promise, ErrorCode.TOO_LARGE, "the body is larger than " + limitBytes + " bytes");
            return promise.future();
        }
        reading.put(promise, context);
        Buffer body = Buffer.buffer();
        long timer = context.owner()
                .setTimer(
                        timeoutMillis,
                        ignored -> fail(promise, ErrorCode.REQUEST_TIMEOUT, "the body did not arrive in time"));
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
        return promise.future().onComplete(done -> {
            reading.remove(promise);
            context.owner().cancelTimer(timer);
        });
    }

    /** Returns the number of bodies that are being read; may be called on any thread. */
    int reading() {
        return reading.size();
    }

    /** Fails the bodies that are being read, since this gateway has stopped; may be called on any thread. */
    void endAll() {
        reading.forEach((promise, context) ->
                context.runOnContext(run -> fail(promise, ErrorCode.NOT_ADMITTING, "this gateway has stopped")));
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
