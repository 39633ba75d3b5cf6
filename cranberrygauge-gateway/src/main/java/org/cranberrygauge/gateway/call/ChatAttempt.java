package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.parsetools.RecordParser;
import java.util.Map;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * One attempt to run a completion on a backend server.
 *
 * <p>Invariants: the listener is told of exactly one end, unless the attempt is cancelled; what arrives after the end or
 * for another attempt is dropped; a connection whose exchange did not end well is closed. Used on the context of the
 * caller's connection.
 */
final class ChatAttempt {

    /** The status of a successful answer. */
    private static final int OK = 200;

    /** The identifier of the attempt. */
    private final String attempt;

    /** The backend server. */
    private final BackendServer server;

    /** Takes what arrives. */
    private final Listener listener;

    /** The request, once it is open. */
    private HttpClientRequest request;

    /** Whether the attempt ended or was cancelled. */
    private boolean closed;

    /**
     * Creates an attempt.
     *
     * @param attempt The identifier of the attempt.
     * @param server The backend server.
     * @param listener Takes what arrives.
     */
    ChatAttempt(String attempt, BackendServer server, Listener listener) {
        this.attempt = attempt;
        this.server = server;
        this.listener = listener;
    }

    /**
     * Returns the identifier.
     *
     * @return The identifier.
     */
    String attempt() {
        return attempt;
    }

    /**
     * Returns the backend server.
     *
     * @return The backend server.
     */
    BackendServer server() {
        return server;
    }

    /**
     * Starts the attempt.
     *
     * @param client The client.
     * @param headers Further headers.
     * @param body The body.
     */
    void start(BackendClient client, Map<String, String> headers, Buffer body) {
        client.open(server, HttpMethod.POST, "/v1/chat/completions", attempt, headers)
                .onSuccess(opened -> send(opened, body))
                .onFailure(failure -> fail(ErrorCode.BACKEND_FAILED, "no connection"));
    }

    /** Cancels the attempt, also at the backend server, by closing its connection. */
    void cancel() {
        closed = true;
        if (request != null) {
            request.reset();
        }
    }

    /**
     * Sends the request.
     *
     * @param opened The open request.
     * @param body The body.
     */
    private void send(HttpClientRequest opened, Buffer body) {
        request = opened;
        if (closed) {
            opened.reset();
            return;
        }
        opened.send(body)
                .onSuccess(this::receive)
                .onFailure(failure -> fail(ErrorCode.BACKEND_FAILED, "connection lost"));
    }

    /**
     * Receives the response.
     *
     * @param response The response.
     */
    private void receive(HttpClientResponse response) {
        String echoed = response.getHeader(BackendClient.ATTEMPT_HEADER);
        if (echoed != null && !echoed.equals(attempt)) {
            fail(ErrorCode.BACKEND_FAILED, "answer to another attempt");
            return;
        }
        if (response.statusCode() != OK) {
            fail(ErrorCode.BACKEND_FAILED, "status " + response.statusCode());
            return;
        }
        response.exceptionHandler(failure -> fail(ErrorCode.BACKEND_FAILED, "stream broken"));
        response.endHandler(end -> fail(ErrorCode.BACKEND_FAILED, "stream ended early"));
        response.handler(RecordParser.newDelimited("\n\n", this::take));
    }

    /**
     * Takes an event.
     *
     * @param event The event.
     */
    private void take(Buffer event) {
        if (closed) {
            return;
        }
        StreamEvent read = EventReader.read(event);
        if (read instanceof StreamEvent.Frame frame) {
            listener.onFrame(frame);
        } else if (read == StreamEvent.Done.INSTANCE) {
            closed = true;
            listener.onDone();
        } else if (read == StreamEvent.Garbage.INSTANCE) {
            fail(ErrorCode.BACKEND_FAILED, "garbage in the stream");
        }
    }

    /**
     * Ends the attempt with a failure.
     *
     * @param code The code.
     * @param reason The reason.
     */
    private void fail(ErrorCode code, String reason) {
        if (closed) {
            return;
        }
        cancel();
        listener.onFailed(code, reason);
    }

    /** Takes what arrives on an attempt. */
    interface Listener {

        /**
         * Takes a frame.
         *
         * @param frame The frame.
         */
        void onFrame(StreamEvent.Frame frame);

        /** Takes the whole end. */
        void onDone();

        /**
         * Takes a failure.
         *
         * @param code The code.
         * @param reason The reason.
         */
        void onFailed(ErrorCode code, String reason);
    }
}
