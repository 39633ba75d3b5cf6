package org.cranberrygauge.gateway.call;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;

/**
 * The answer to one caller.
 *
 * <p>Invariants: at most one final answer is sent; what arrives after it is dropped. Used on the context of the caller's
 * connection.
 */
public final class CallerReply {

    /** The header with the identifier of the request. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** The time for which what a caller still sends is read and dropped, so that it gets its answer, in milliseconds. */
    private static final long LINGER_MILLIS = 1_000;

    /** The time for which a caller may read nothing of a stream in milliseconds. */
    private static final long STALL_MILLIS = 30_000;

    /** The connection. */
    private final HttpConnection connection;

    /** The status of a refusal for lack of capacity. */
    private static final int TOO_MANY_REQUESTS = 429;

    /** The lowest status of errors that are not the caller's. */
    private static final int FIRST_SERVER_ERROR = 500;

    /** The response. */
    private final HttpServerResponse response;

    /** The context of the connection. */
    private final Context context;

    /** The identifier of the request. */
    private final String requestId;

    /** Whether the final answer was sent or the caller is gone. */
    private boolean closed;

    /** Whether the caller reads more slowly than the stream comes. */
    private boolean stalled;

    /** Whether the connection is closed after the answer. */
    private boolean closesConnection;

    /**
     * Creates a reply.
     *
     * @param request The request.
     * @param context The context of the connection.
     * @param requestId The identifier of the request.
     */
    public CallerReply(HttpServerRequest request, Context context, String requestId) {
        this.connection = request.connection();
        this.response = request.response();
        this.context = context;
        this.requestId = requestId;
        response.putHeader(REQUEST_ID_HEADER, requestId);
    }

    /**
     * Returns the context of the connection.
     *
     * @return The context.
     */
    public Context context() {
        return context;
    }

    /**
     * Returns the identifier of the request.
     *
     * @return The identifier.
     */
    public String requestId() {
        return requestId;
    }

    /**
     * Tells whether the final answer was sent or the caller is gone.
     *
     * @return Whether nothing more can be sent.
     */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Runs an action when the caller goes away before its answer.
     *
     * @param action The action.
     */
    public void onVanished(Runnable action) {
        response.closeHandler(gone -> {
            if (!closed) {
                closed = true;
                action.run();
            }
        });
    }

    /** Closes the connection after the answer, since the rest of the request is not read. */
    public void closeConnectionAfterwards() {
        closesConnection = true;
        response.putHeader("Connection", "close");
    }

    /**
     * Sends a whole answer.
     *
     * @param status The status.
     * @param contentType The content type.
     * @param body The body.
     */
    public void answer(int status, String contentType, Buffer body) {
        if (closed) {
            return;
        }
        closed = true;
        response.setStatusCode(status).putHeader("Content-Type", contentType).end(body);
        if (closesConnection) {
            context.owner().setTimer(LINGER_MILLIS, timer -> connection.close());
        }
    }

    /**
     * Sends a part of a stream.
     *
     * @param part The part.
     */
    public void stream(Buffer part) {
        if (closed) {
            return;
        }
        if (!response.headWritten()) {
            response.setChunked(true)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("Cache-Control", "no-cache");
        }
        response.write(part);
        if (response.writeQueueFull() && !stalled) {
            stalled = true;
            long timer = context.owner().setTimer(STALL_MILLIS, fired -> connection.close());
            response.drainHandler(drained -> {
                stalled = false;
                context.owner().cancelTimer(timer);
            });
        }
    }

    /** Ends a stream. */
    public void endStream() {
        if (!closed) {
            closed = true;
            response.end();
        }
    }

    /**
     * Returns the type of an error as callers of chat completions know it.
     *
     * @param status The HTTP status.
     * @return The type.
     */
    private static String errorType(int status) {
        if (status == TOO_MANY_REQUESTS) {
            return "rate_limit_error";
        }
        return status < FIRST_SERVER_ERROR ? "invalid_request_error" : "server_error";
    }

    /**
     * Sends a failure, as an event if a stream has begun.
     *
     * @param failure The failure.
     */
    public void fail(RequestFailure failure) {
        if (closed) {
            return;
        }
        JsonObject error = new JsonObject()
                .put("type", errorType(failure.code().httpStatus()))
                .put("code", failure.code().text())
                .put("message", failure.message())
                .put("not_run", failure.notRun())
                .put("request_id", requestId);
        Buffer body = new JsonObject().put("error", error).toBuffer();
        if (response.headWritten()) {
            stream(Buffer.buffer("event: error\ndata: ").appendBuffer(body).appendString("\n\n"));
            endStream();
            return;
        }
        if (failure.retryAfterMillis() > 0) {
            long seconds = TimeUnit.MILLISECONDS.toSeconds(failure.retryAfterMillis() + 999);
            response.putHeader("Retry-After", String.valueOf(seconds));
        }
        answer(failure.code().httpStatus(), "application/json", body);
    }
}
