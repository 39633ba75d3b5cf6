package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.exchange.HeaderCodec.BackendHeaders;
import org.cranberrygauge.proxy.exchange.HeaderCodec.BackendResponseHeaders;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.stream.EventSplitter;

/**
 * One attempt at a backend server.
 *
 * <p>Invariants: the listener hears of exactly one end, and nothing after it or after the attempt was abandoned; an answer
 * that names another request, or a success without a signature, counts as broken. Used by one thread.
 */
final class BackendAttempt {

    /** The status from which an answer is a failure of the backend server. */
    private static final int SERVER_ERROR = 500;

    /** The status of a success. */
    private static final int OK = 200;

    /** The first status that is no success. */
    private static final int NOT_SUCCESS = 300;

    /** The longest whole answer that is kept in memory, in bytes. */
    private static final int LONGEST_WHOLE_BYTES = 8 << 20;

    /** The dialect. */
    private final HeaderCodec dialect;

    /** The request. */
    private final ProxyRequest request;

    /** The backend server. */
    private final Backend backend;

    /** Hears what comes of the attempt. */
    private final Listener listener;

    /** Cuts the stream after whole events. */
    private final EventSplitter splitter = new EventSplitter();

    /** The request to the backend server, once there is a connection. */
    private HttpClientRequest sent;

    /** The answer, once its head has arrived. */
    private HttpClientResponse response;

    /** Whether the attempt has ended. */
    private boolean over;

    /**
     * Creates an attempt.
     *
     * @param dialect The dialect.
     * @param request The request.
     * @param backend The backend server.
     * @param listener Hears what comes of the attempt.
     */
    BackendAttempt(HeaderCodec dialect, ProxyRequest request, Backend backend, Listener listener) {
        this.dialect = dialect;
        this.request = request;
        this.backend = backend;
        this.listener = listener;
    }

    /**
     * Starts the attempt.
     *
     * @param client The client.
     * @param remainingMillis The time left in milliseconds.
     * @param lastEventId The event after which a stream shall go on.
     */
    void start(BackendClient client, long remainingMillis, Optional<String> lastEventId) {
        BackendHeaders head = new BackendHeaders(
                request.id(), backend.id(), remainingMillis, request.customer(), request.urgency(), lastEventId);
        client.open(request, backend)
                .onSuccess(opened -> send(opened, head))
                .onFailure(failure -> fail(AttemptOutcome.NOT_CONNECTED, String.valueOf(failure.getMessage())));
    }

    /**
     * Returns the backend server.
     *
     * @return The backend server.
     */
    Backend backend() {
        return backend;
    }

    /** Ends the attempt without telling the listener; the connection is closed, which ends the work there. */
    void abandon() {
        over = true;
        if (sent != null) {
            sent.reset();
        }
    }

    /** Stops reading the answer. */
    void pause() {
        response.pause();
    }

    /** Goes on reading the answer. */
    void resume() {
        response.resume();
    }

    /**
     * Sends the request.
     *
     * @param opened The request to the backend server.
     * @param head What the proxy says.
     */
    private void send(HttpClientRequest opened, BackendHeaders head) {
        sent = opened;
        if (over) {
            opened.reset();
            return;
        }
        listener.sent();
        dialect.writeBackend(request.headers(), head, opened.headers());
        opened.exceptionHandler(failure -> broken(String.valueOf(failure.getMessage())));
        (request.body().length() == 0 && !hasFraming() ? opened.send() : opened.send(request.body()))
                .onSuccess(this::readHead)
                .onFailure(failure -> broken(String.valueOf(failure.getMessage())));
    }

    /**
     * Tells whether the caller declared a body, also an empty one.
     *
     * @return Whether a body was declared.
     */
    private boolean hasFraming() {
        return request.headers().contains("Content-Length") || request.headers().contains("Transfer-Encoding");
    }

    /**
     * Reads the head of the answer.
     *
     * @param answer The answer.
     */
    private void readHead(HttpClientResponse answer) {
        if (over) {
            return;
        }
        response = answer;
        answer.exceptionHandler(failure -> broken(String.valueOf(failure.getMessage())));
        BackendResponseHeaders head = dialect.readAnswer(answer.headers());
        if (head.requestId().filter(id -> !id.equals(request.id())).isPresent()) {
            broken("answer names another request");
            return;
        }
        if (head.notRun()) {
            fail(AttemptOutcome.NOT_RUN, "status " + answer.statusCode());
            return;
        }
        boolean success = answer.statusCode() >= OK && answer.statusCode() < NOT_SUCCESS;
        if (success && !head.signature()) {
            broken("success without a signature");
            return;
        }
        if (success && request.route().kind().streams()) {
            readStream(answer);
        } else {
            readWhole(answer);
        }
    }

    /**
     * Reads a whole answer.
     *
     * @param answer The answer.
     */
    private void readWhole(HttpClientResponse answer) {
        Buffer body = Buffer.buffer();
        answer.handler(bytes -> {
            if (body.length() + bytes.length() > LONGEST_WHOLE_BYTES) {
                broken("answer is too long");
                return;
            }
            body.appendBuffer(bytes);
        });
        answer.endHandler(end -> {
            if (over) {
                return;
            }
            over = true;
            listener.whole(new WholeAnswer(answer.statusCode(), answer.headers(), body));
        });
    }

    /**
     * Reads a stream of events.
     *
     * @param answer The answer.
     */
    private void readStream(HttpClientResponse answer) {
        answer.handler(bytes -> {
            if (over) {
                return;
            }
            Buffer whole = splitter.take(bytes);
            if (whole.length() > 0) {
                listener.events(answer.statusCode(), answer.headers(), whole, splitter.lastId());
            }
        });
        answer.endHandler(end -> {
            if (splitter.midEvent()) {
                broken("stream ended within an event");
                return;
            }
            if (!over) {
                over = true;
                listener.streamEnd(answer.statusCode(), answer.headers());
            }
        });
    }

    /**
     * Ends the attempt since the connection broke or the answer can't be used; the connection is closed before the listener
     * may go elsewhere.
     *
     * @param detail What happened.
     */
    private void broken(String detail) {
        if (over) {
            return;
        }
        over = true;
        sent.reset();
        listener.failed(AttemptOutcome.BROKEN, detail);
    }

    /**
     * Ends the attempt with a failure.
     *
     * @param outcome How it ended.
     * @param detail What happened.
     */
    private void fail(AttemptOutcome outcome, String detail) {
        if (over) {
            return;
        }
        over = true;
        listener.failed(outcome, detail);
    }

    /** Hears what comes of an attempt. */
    interface Listener {

        /** Hears that the request is being sent on a connection, after which it may run. */
        void sent();

        /**
         * Hears that whole events of a stream have arrived.
         *
         * @param status The status of the answer.
         * @param headers The headers of the answer.
         * @param events The events.
         * @param lastId The identifier of the last event.
         */
        void events(int status, MultiMap headers, Buffer events, Optional<String> lastId);

        /**
         * Hears that a stream has come to its end.
         *
         * @param status The status of the answer.
         * @param headers The headers of the answer.
         */
        void streamEnd(int status, MultiMap headers);

        /**
         * Hears of a whole answer.
         *
         * @param answer The answer.
         */
        void whole(WholeAnswer answer);

        /**
         * Hears that the attempt failed.
         *
         * @param outcome How it ended.
         * @param detail What happened.
         */
        void failed(AttemptOutcome outcome, String detail);
    }

    /**
     * A whole answer.
     *
     * @param status The status.
     * @param headers The headers.
     * @param body The body.
     */
    record WholeAnswer(int status, MultiMap headers, Buffer body) {

        /**
         * Tells whether the backend server failed.
         *
         * @return Whether it failed.
         */
        boolean isServerError() {
            return status >= SERVER_ERROR;
        }
    }
}
