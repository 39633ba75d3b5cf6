package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.cranberrygauge.proxy.admission.RejectReason;

/**
 * Writes the answer to a caller.
 *
 * <p>Invariants: exactly one answer is written; a stream that breaks off never gets its end; while the host drains, the
 * connection is closed after the answer. Used by one thread.
 */
public final class CallerReply {

    /** The milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The request. */
    private final HttpServerRequest request;

    /** The response. */
    private final HttpServerResponse response;

    /** Tells whether the host drains. */
    private final BooleanSupplier draining;

    /** Whether the connection is closed after the answer. */
    private boolean closeAfter;

    /**
     * Creates a reply.
     *
     * @param request The request.
     * @param draining Tells whether the host drains.
     */
    public CallerReply(HttpServerRequest request, BooleanSupplier draining) {
        this.request = request;
        this.response = request.response();
        this.draining = draining;
    }

    /**
     * Sets what runs when the caller closes its connection before the answer ends.
     *
     * @param gone What runs.
     */
    public void onGone(Runnable gone) {
        response.closeHandler(closed -> gone.run());
        response.exceptionHandler(failure -> gone.run());
    }

    /** Closes the connection after the answer, since what follows on it can't be trusted. */
    public void closeAfterAnswer() {
        closeAfter = true;
    }

    /**
     * Answers with a status of the proxy's own.
     *
     * @param reason The reason.
     */
    public void reject(RejectReason reason) {
        response.setStatusCode(reason.status());
        reason.retryAfterMillis()
                .ifPresent(millis -> response.putHeader(
                        HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND)));
        end(Buffer.buffer());
    }

    /**
     * Passes on a whole answer.
     *
     * @param status The status.
     * @param headers The headers to pass on.
     * @param body The body.
     */
    public void passOn(int status, MultiMap headers, Buffer body) {
        response.setStatusCode(status);
        response.headers().addAll(headers);
        end(body);
    }

    /**
     * Starts a stream.
     *
     * @param status The status.
     * @param headers The headers to pass on.
     */
    public void startStream(int status, MultiMap headers) {
        response.setStatusCode(status);
        response.headers().addAll(headers);
        response.setChunked(true);
        announceClose();
    }

    /**
     * Writes events of a stream.
     *
     * @param events The events.
     */
    public void write(Buffer events) {
        response.write(events);
    }

    /** Ends a stream that is complete. */
    public void endStream() {
        response.end().onComplete(written -> closeIfDue());
    }

    /** Closes the connection without the end of the answer. */
    public void cut() {
        request.connection().close();
    }

    /**
     * Tells whether the caller reads more slowly than the stream is written.
     *
     * @return Whether writing should wait.
     */
    public boolean isFull() {
        return response.writeQueueFull();
    }

    /**
     * Sets what runs when the caller has read what was written.
     *
     * @param drained What runs.
     */
    public void onDrained(Handler<Void> drained) {
        response.drainHandler(drained);
    }

    /**
     * Writes the end of an answer with a known length.
     *
     * @param body The body.
     */
    private void end(Buffer body) {
        announceClose();
        response.end(body).onComplete(written -> closeIfDue());
    }

    /** Tells the caller that the connection will be closed. */
    private void announceClose() {
        closeAfter = closeAfter || draining.getAsBoolean();
        if (closeAfter) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }

    /** Closes the connection if that was announced. */
    private void closeIfDue() {
        if (closeAfter) {
            request.connection().close();
        }
    }
}
