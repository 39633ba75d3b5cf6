package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.cranberrygauge.decision.memory.Reservation;
import org.cranberrygauge.decision.memory.WriteProgress;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.runtime.http.ConnectionChannel;

/**
 * Writes the response to a caller.
 *
 * <p>Invariants: exactly one response is written; a stream that breaks off is never terminated properly; the response has no
 * framing where that of the backend server has none; while the host
 * drains or has many connections, the connection is closed after the response; bytes are reserved until the caller's connection has taken them. Not thread-safe.
 */
public final class CallerResponse {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The maximum time for which the rest of a body is discarded after its request was rejected. */
    private static final long DISCARD_MILLIS = 2_000;

    /** The time in which a caller may read what waits for it before a response that was broken off, in milliseconds. */
    private static final long ABORT_MILLIS = 1_000;

    /** The maximum size of one write of a complete response. Reading is noticed by the writes that are done. */
    private static final int SLICE_BYTES = 64 << 10;

    /**
     * The minimum time without reading after which a caller counts as stalled. A caller whose network loses packets
     * resumes within a few retransmissions, which take less.
     */
    private static final long MINIMUM_STALL_MILLIS = 2_000;

    private final HttpServerRequest request;

    private final RequestMemory memory;

    /** The bytes that the caller has not read yet. */
    private final Reservation unread;

    private final WriteProgress progress = new WriteProgress();

    private final HttpServerResponse response;

    /** Tells whether the connection is closed after the response for the sake of this host. */
    private final BooleanSupplier closing;

    /** Whether the caller is another host that forwards the request. */
    private final boolean forwarded;

    /** The number of backend servers that the request was sent to. */
    private int sentAttempts;

    /** Whether the response has a length or chunks. */
    private boolean framed = true;

    private boolean closeAfter;

    /** Whether the connection is closed once the body has been read, and not right after the response. */
    private boolean closeDeferred;

    private boolean written;

    /** Whether the response is complete and not wholly written. */
    private boolean unwritten;

    private String requestId = "-";

    private long stallMillis = MINIMUM_STALL_MILLIS;

    /**
     * @param closing Tells whether the connection is closed after the response, since this host drains or has many connections.
     * @param forwarded Whether the caller is another host that forwards the request.
     */
    public CallerResponse(HttpServerRequest request, RequestMemory memory, BooleanSupplier closing, boolean forwarded) {
        this.request = request;
        this.memory = memory;
        this.unread = memory.open();
        this.response = request.response();
        this.closing = closing;
        this.forwarded = forwarded;
    }

    /** Sets the callback for a connection that the caller closes before the response is complete. */
    public void onDisconnect(Runnable callback) {
        response.closeHandler(closed -> disconnect(callback));
        response.exceptionHandler(failure -> disconnect(callback));
    }

    private void disconnect(Runnable callback) {
        release();
        callback.run();
    }

    /** Records that the request is sent to a backend server. */
    void recordSent() {
        sentAttempts++;
    }

    /** Sets the identifier of the request for log events. */
    void setRequestId(String id) {
        requestId = id;
    }

    String requestId() {
        return requestId;
    }

    /** Sets the time without reading after which the caller counts as stalled, if it exceeds the minimum. */
    void setStallMillis(long millis) {
        stallMillis = Math.max(MINIMUM_STALL_MILLIS, millis);
    }

    /** Tells whether bytes wait for the caller and it has read none of them for the time after which it is stalled. */
    boolean isStalled(long nowMillis) {
        return stalledMillis(nowMillis) >= stallMillis;
    }

    long stalledMillis(long nowMillis) {
        return progress.stalledMillis(nowMillis);
    }

    long unreadBytes() {
        return progress.pendingBytes();
    }

    /** Closes the connection after the response, since the start of the next request on it is unknown. */
    public void closeAfterResponse() {
        closeAfter = true;
    }

    /**
     * Writes the proxy's own response for a rejection.
     *
     * @param retryAfterMillis How long the caller should wait before a retry, in milliseconds.
     */
    public void reject(RejectReason reason, OptionalLong retryAfterMillis) {
        response.setStatusCode(reason.status());
        if (forwarded) {
            Forwarding.markNotRun(response.headers(), reason.isNotRun(), sentAttempts);
        }
        retryAfterMillis.ifPresent(millis -> response.putHeader(
                HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND)));
        end(Buffer.buffer());
    }

    /**
     * Writes the proxy's own response for a rejection before the body has arrived, and closes the connection. The rest
     * of the body is read and discarded first, since closing a connection with unread data resets it, and the caller
     * could lose the response with its statement that the request has not run.
     *
     * @param retryAfterMillis How long the caller should wait before a retry, in milliseconds.
     */
    public void rejectBeforeBody(Vertx vertx, RejectReason reason, OptionalLong retryAfterMillis) {
        closeAfter = true;
        closeDeferred = !request.isEnded();
        if (closeDeferred) {
            long timer = vertx.setTimer(DISCARD_MILLIS, fired -> abort());
            response.closeHandler(closed -> vertx.cancelTimer(timer));
            request.handler(ignored -> {});
            request.endHandler(end -> {
                closeDeferred = false;
                if (written) {
                    closeIfAnnounced();
                }
            });
        }
        reject(reason, retryAfterMillis);
    }

    /**
     * Writes a response of a backend server that has ended.
     *
     * @param framed Whether more than the end of its connection shows that it is complete; otherwise this is so for the caller,
     *     too.
     */
    public void forward(int status, MultiMap headers, Buffer body, boolean framed) {
        response.setStatusCode(status);
        response.headers().addAll(headers);
        if (forwarded) {
            Forwarding.markNotRun(response.headers(), false, sentAttempts);
        }
        if (!framed) {
            endWithConnection();
        }
        end(body);
    }

    /**
     * Writes the status and headers of a stream.
     *
     * @param framed Whether more than the end of the server's connection shows that its response is complete; otherwise this
     *     is so for the caller, too, and for callers that don't take chunks.
     */
    public void startStream(int status, MultiMap headers, boolean framed) {
        response.setStatusCode(status);
        response.headers().addAll(headers);
        if (forwarded) {
            Forwarding.markNotRun(response.headers(), false, sentAttempts);
        }
        boolean takesChunks = request.version() != HttpVersion.HTTP_1_0;
        if (framed && takesChunks) {
            response.setChunked(true);
        } else {
            endWithConnection();
        }
        announceClose();
    }

    /**
     * Makes the response one with neither a length nor chunks. Until it has ended, its connection is reset rather than closed,
     * also by the end of this process, so that no caller takes a break for the end.
     */
    private void endWithConnection() {
        framed = false;
        closeAfter = true;
        ConnectionChannel.resetOnClose(request.connection(), true);
        // Vert.x accepts no HTTP/1.1 response without framing, but sends the headers that are left.
        response.putHeader(HttpHeaders.CONTENT_LENGTH, "0");
        response.headersEndHandler(end -> response.headers().remove(HttpHeaders.CONTENT_LENGTH));
    }

    int status() {
        return response.getStatusCode();
    }

    /** Tells whether more than the end of the connection shows the caller that the response is complete. */
    boolean isFramed() {
        return framed;
    }

    /** Writes events of a stream. */
    public void write(Buffer events) {
        recordQueued(events.length());
        response.write(events).onComplete(written -> recordWritten(events.length()));
    }

    private void recordQueued(int bytes) {
        unread.add(bytes);
        progress.recordQueued(memory.nowMillis(), bytes);
        memory.addUnread(this);
    }

    /** Records that bytes were taken by the connection or dropped with it. */
    private void recordWritten(int bytes) {
        unread.subtract(bytes);
        progress.recordWritten(memory.nowMillis(), bytes);
        if (progress.pendingBytes() == 0) {
            memory.removeUnread(this);
        }
    }

    /** Ends a stream that is complete, or one without framing whose server has ended it. */
    public void endStream() {
        startFinalWrite();
        endWith(Buffer.buffer()).onComplete(written -> finishWrite());
    }

    /** Closes the connection before the end of the response, also if the caller has stopped reading. */
    public void abort() {
        ConnectionChannel.closeWithin(request.connection(), ABORT_MILLIS);
    }

    /** Closes the connection at once; what the caller has not read is dropped. */
    void disconnect() {
        ConnectionChannel.closeNow(request.connection());
        release();
    }

    /** Tells whether the connection is open, so that the caller may still read. */
    boolean isOpen() {
        return ConnectionChannel.isOpen(request.connection());
    }

    /** Tells whether the caller is connected, after reading what it has sent. */
    boolean isAwaited() {
        ConnectionChannel.readPending(request.connection());
        return isOpen();
    }

    /** Releases the bytes that the caller has not read, which are dropped with its connection. */
    void release() {
        unread.close();
        memory.removeUnread(this);
        recordFinalWrite();
    }

    /** Tells whether the write queue is full because the caller reads more slowly than the backend server writes. */
    public boolean isFull() {
        return response.writeQueueFull();
    }

    /** Sets the callback for a write queue that accepts data again. */
    public void onDrained(Handler<Void> callback) {
        response.drainHandler(callback);
    }

    private void end(Buffer body) {
        announceClose();
        int last = 0;
        if (body.length() > SLICE_BYTES) {
            if (framed) {
                response.putHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length()));
            }
            for (; body.length() - last > SLICE_BYTES; last += SLICE_BYTES) {
                write(body.slice(last, last + SLICE_BYTES));
            }
        }
        Buffer rest = body.slice(last, body.length());
        recordQueued(rest.length());
        startFinalWrite();
        endWith(rest).onComplete(written -> {
            recordWritten(rest.length());
            finishWrite();
        });
    }

    /** Ends the response with the last bytes; one without framing is closed in order once all of it was sent. */
    private Future<Void> endWith(Buffer rest) {
        if (framed) {
            return response.end(rest);
        }
        return response.write(rest).compose(sent -> {
            ConnectionChannel.resetOnClose(request.connection(), false);
            return response.end();
        });
    }

    private void startFinalWrite() {
        unwritten = true;
        memory.addUnwritten();
    }

    private void finishWrite() {
        recordFinalWrite();
        closeIfAnnounced();
    }

    /** Records that the response is written, or dropped with its connection. */
    private void recordFinalWrite() {
        if (unwritten) {
            unwritten = false;
            memory.removeUnwritten();
        }
    }

    private void announceClose() {
        closeAfter = closeAfter || closing.getAsBoolean();
        if (closeAfter) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }

    private void closeIfAnnounced() {
        written = true;
        if (closeAfter && !closeDeferred) {
            request.connection().close();
        }
    }
}
