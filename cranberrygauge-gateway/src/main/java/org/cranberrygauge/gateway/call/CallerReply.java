package org.cranberrygauge.gateway.call;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.runtime.http.ConnectionChannel;

/**
 * The response to one caller.
 *
 * <p>Invariants: at most one final response is sent, and everything after it is dropped; a response that ends with its
 * connection ends in order only once all of it was sent. Used on the context of the caller's connection.
 */
public final class CallerReply {

    /** The response header with the identifier of the request. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /**
     * How long the rest of an unread request is read and discarded before the connection is closed, in milliseconds. A
     * connection closed earlier may be reset before the caller has read the response.
     */
    private static final long LINGER_TIMEOUT_MILLIS = 1_000;

    private static final long WRITE_STALL_TIMEOUT_MILLIS = 30_000;

    /** The maximum size of one write of a response that ends with its connection. Each must be read in time. */
    private static final int SLICE_BYTES = 64 << 10;

    private final HttpConnection connection;

    private static final int TOO_MANY_REQUESTS = 429;

    private static final int FIRST_SERVER_ERROR = 500;

    private final HttpServerResponse response;

    private final Context context;

    private final String requestId;

    /** Whether the final response was sent or the caller disconnected. */
    private boolean closed;

    /** Whether the write queue is full because the caller reads more slowly than the stream is produced. */
    private boolean stalled;

    /** What runs when the write queue of a stream has room again. */
    private Runnable drained = () -> {};

    private boolean closesConnection;

    /** How long a caller may leave a full write queue unread before its connection is closed, in milliseconds. */
    private final long stallTimeoutMillis;

    public CallerReply(HttpServerRequest request, Context context, String requestId) {
        this(request, context, requestId, WRITE_STALL_TIMEOUT_MILLIS);
    }

    CallerReply(HttpServerRequest request, Context context, String requestId, long stallTimeoutMillis) {
        this.stallTimeoutMillis = stallTimeoutMillis;
        this.connection = request.connection();
        this.response = request.response();
        this.context = context;
        this.requestId = requestId;
        response.putHeader(REQUEST_ID_HEADER, requestId);
    }

    public Context context() {
        return context;
    }

    public String requestId() {
        return requestId;
    }

    /** Returns whether the final response was sent or the caller disconnected, after which nothing more is sent. */
    public boolean isClosed() {
        return closed;
    }

    /** Runs an action if the caller disconnects before the final response. */
    public void onDisconnect(Runnable action) {
        response.closeHandler(gone -> {
            if (!closed) {
                closed = true;
                action.run();
            }
        });
    }

    /** Runs an action each time the caller of a stream has read enough after a stall. */
    public void onDrained(Runnable action) {
        drained = action;
    }

    /** Tells whether a stream waits for its caller to read. */
    public boolean isStalled() {
        return stalled;
    }

    /** Closes the connection after the response, because the rest of the request is not read. */
    public void closeConnectionAfterResponse() {
        closesConnection = true;
        response.putHeader("Connection", "close");
    }

    /** Sends a complete response. */
    public void answer(int status, String contentType, Buffer body) {
        if (closed) {
            return;
        }
        closed = true;
        response.setStatusCode(status).putHeader("Content-Type", contentType).end(body);
        if (closesConnection) {
            context.owner().setTimer(LINGER_TIMEOUT_MILLIS, timer -> connection.close());
        }
    }

    /**
     * Sends a response with neither a length nor chunks, since only the end of a connection shows that the body is
     * complete. Until all of it was sent, the connection is reset rather than closed, also by the end of this process, so
     * that the caller does not take a break for the end. A caller that does not read for too long is disconnected.
     */
    public void answerUntilClose(int status, String contentType, Buffer body) {
        if (closed) {
            return;
        }
        closed = true;
        ConnectionChannel.resetOnClose(connection, true);
        // Vert.x accepts no HTTP/1.1 response without framing, but sends the headers that are left.
        response.headersEndHandler(end -> response.headers().remove(HttpHeaders.CONTENT_LENGTH));
        response.setStatusCode(status)
                .putHeader("Content-Type", contentType)
                .putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE)
                .putHeader(HttpHeaders.CONTENT_LENGTH, "0");
        writeUntilClose(body);
    }

    /** Writes the next slice of a body, and closes the connection after the last one. */
    private void writeUntilClose(Buffer rest) {
        int sliceBytes = Math.min(rest.length(), SLICE_BYTES);
        long timer = context.owner().setTimer(stallTimeoutMillis, fired -> ConnectionChannel.closeNow(connection));
        response.write(rest.slice(0, sliceBytes))
                .onComplete(written -> context.owner().cancelTimer(timer))
                .onSuccess(written -> context.runOnContext(next -> {
                    if (sliceBytes < rest.length()) {
                        writeUntilClose(rest.slice(sliceBytes, rest.length()));
                    } else {
                        closeInOrder();
                    }
                }));
    }

    private void closeInOrder() {
        ConnectionChannel.resetOnClose(connection, false);
        response.end().onComplete(ended -> connection.close());
    }

    /** Sends one part of an event stream. A caller that does not read for too long is disconnected. */
    public void writeChunk(Buffer part) {
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
            long timer = context.owner().setTimer(stallTimeoutMillis, fired -> ConnectionChannel.closeNow(connection));
            response.drainHandler(ready -> {
                stalled = false;
                context.owner().cancelTimer(timer);
                drained.run();
            });
        }
    }

    /** Ends a stream begun with {@link #writeChunk}. */
    public void endStream() {
        if (!closed) {
            closed = true;
            response.end();
        }
    }

    /** Returns the error type that clients of the chat completions API expect for an HTTP status. */
    private static String errorType(int status) {
        if (status == TOO_MANY_REQUESTS) {
            return "rate_limit_error";
        }
        return status < FIRST_SERVER_ERROR ? "invalid_request_error" : "server_error";
    }

    /** Sends a failure, as an error event if the stream has already begun. */
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
            writeChunk(Buffer.buffer("event: error\ndata: ").appendBuffer(body).appendString("\n\n"));
            endStream();
            return;
        }
        if (failure.retryAfterMillis() > 0) {
            // Rounded up, so that the caller does not retry too early.
            long seconds = TimeUnit.MILLISECONDS.toSeconds(failure.retryAfterMillis() + 999);
            response.putHeader("Retry-After", String.valueOf(seconds));
        }
        answer(failure.code().httpStatus(), "application/json", body);
    }
}
