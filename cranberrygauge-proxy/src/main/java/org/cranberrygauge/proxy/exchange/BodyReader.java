package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import org.cranberrygauge.decision.memory.Reservation;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.exchange.OpenRequests.OpenRequest;

/**
 * Buffers the body of a request within a reservation.
 *
 * <p>Invariants: exactly one of the two callbacks is called, unless the caller disconnects before; after a rejection
 * the reservation is closed and further bytes are discarded. Not thread-safe.
 */
final class BodyReader implements OpenRequest {

    private final Vertx vertx;

    private final OpenRequests open;

    private final long maximumBytes;

    private final Reservation memory;

    private final Consumer<Buffer> complete;

    private final Consumer<RejectReason> rejected;

    /** The bytes so far; null once reading has ended. */
    private Buffer body = Buffer.buffer();

    private long deadlineTimer;

    /**
     * @param memory Closed by the receiver of the complete body, else by this reader.
     * @param complete Receives the body.
     * @param rejected Receives the reason why the body was not read completely.
     */
    BodyReader(
            Vertx vertx,
            OpenRequests open,
            long maximumBytes,
            Reservation memory,
            Consumer<Buffer> complete,
            Consumer<RejectReason> rejected) {
        this.vertx = vertx;
        this.open = open;
        this.maximumBytes = maximumBytes;
        this.memory = memory;
        this.complete = complete;
        this.rejected = rejected;
    }

    /** Starts to read, until the deadline at the latest, so that an unfinished body is not retained for longer. */
    void read(HttpServerRequest request, CallerResponse response, long remainingMillis) {
        open.add(this);
        response.onDisconnect(this::end);
        deadlineTimer = vertx.setTimer(Math.max(1, remainingMillis), fired -> reject(RejectReason.EXPIRED));
        request.handler(this::append);
        request.endHandler(end -> {
            if (body != null) {
                Buffer whole = body;
                stop();
                complete.accept(whole);
            }
        });
    }

    private void append(Buffer bytes) {
        if (body == null) {
            return;
        }
        if (body.length() + (long) bytes.length() > maximumBytes) {
            reject(RejectReason.BODY_TOO_LONG);
        } else if (!memory.tryAdd(bytes.length())) {
            reject(RejectReason.MEMORY_EXHAUSTED);
        } else {
            body.appendBuffer(bytes);
        }
    }

    private void reject(RejectReason reason) {
        if (body != null) {
            end();
            rejected.accept(reason);
        }
    }

    /** Does nothing, since whether the request begins is decided once its body is complete. */
    @Override
    public void rejectUnlessBegins() {}

    @Override
    public void endWithHost() {
        reject(RejectReason.DRAINING);
    }

    private void end() {
        stop();
        memory.close();
    }

    private void stop() {
        body = null;
        vertx.cancelTimer(deadlineTimer);
        open.remove(this);
    }
}
