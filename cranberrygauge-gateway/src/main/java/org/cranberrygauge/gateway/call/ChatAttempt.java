package org.cranberrygauge.gateway.call;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.parsetools.RecordParser;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.gateway.call.AttemptFailure.Kind;
import org.cranberrygauge.model.backend.BackendServer;

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

    /** The lowest status of an answer that finds fault with the request. */
    private static final int BAD_REQUEST = 400;

    /** The statuses from 400 that tell of the backend server's state and not of the request. */
    private static final Set<Integer> NOT_THE_REQUEST = Set.of(401, 403, 404, 408, 409, 425, 429);

    /** The lowest status of an answer that tells of a fault of the backend server. */
    private static final int SERVER_ERROR = 500;

    /** The largest event in bytes. */
    private static final int EVENT_LIMIT_BYTES = 1024 * 1024;

    /** The identifier of the attempt. */
    private final String attempt;

    /** The backend server. */
    private final BackendServer server;

    /** Takes what arrives. */
    private final Listener listener;

    /** Ends the attempt when the backend server falls silent. */
    private final InactivityTimer silence;

    /** The request, once it is open. */
    private HttpClientRequest request;

    /** Whether an event told why the answer ended. */
    private boolean finished;

    /** Whether the attempt ended or was cancelled. */
    private boolean closed;

    /**
     * Creates an attempt.
     *
     * @param attempt The identifier of the attempt.
     * @param server The backend server.
     * @param listener Takes what arrives.
     * @param tools What every request works with.
     * @param vertx The Vert.x instance.
     */
    ChatAttempt(String attempt, BackendServer server, Listener listener, CallDependencies tools, Vertx vertx) {
        this.attempt = attempt;
        this.server = server;
        this.listener = listener;
        this.silence = new InactivityTimer(
                vertx,
                tools.time(),
                tools.client().idleTimeoutMillis(),
                () -> fail(new AttemptFailure(Kind.TIMEOUT, "no byte in time")));
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
     * @param path The path.
     * @param headers Further headers.
     * @param body The body.
     */
    void start(BackendClient client, String path, Map<String, String> headers, Buffer body) {
        client.open(server, HttpMethod.POST, path, attempt, headers)
                .onSuccess(opened -> send(opened, body))
                .onFailure(failure -> fail(new AttemptFailure(Kind.NOT_CONNECTED, "no connection")));
    }

    /** Cancels the attempt, also at the backend server, by closing its connection. */
    void cancel() {
        closed = true;
        silence.stop();
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
        silence.start();
        opened.send(body)
                .onSuccess(this::receive)
                .onFailure(failure -> fail(AttemptFailure.broken(failure, "connection lost")));
    }

    /**
     * Receives the response.
     *
     * @param response The response.
     */
    private void receive(HttpClientResponse response) {
        response.exceptionHandler(failure -> fail(AttemptFailure.broken(failure, "stream broken")));
        String echoed = response.getHeader(BackendClient.ATTEMPT_HEADER);
        if (echoed != null && !echoed.equals(attempt)) {
            fail(new AttemptFailure(Kind.INVALID_ANSWER, "answer to another attempt"));
            return;
        }
        if (response.statusCode() != OK) {
            fail(refusal(response.statusCode()));
            return;
        }
        RecordParser parser = RecordParser.newDelimited("\n\n", this::take);
        parser.maxRecordSize(EVENT_LIMIT_BYTES);
        parser.exceptionHandler(failure -> fail(new AttemptFailure(Kind.INVALID_ANSWER, "event too large")));
        response.endHandler(end -> fail(new AttemptFailure(Kind.INVALID_ANSWER, "stream ended early")));
        response.handler(parser);
    }

    /**
     * Tells what an answer without a stream means.
     *
     * @param status The status.
     * @return The failure.
     */
    private static AttemptFailure refusal(int status) {
        boolean requestIsWrong = status >= BAD_REQUEST && status < SERVER_ERROR && !NOT_THE_REQUEST.contains(status);
        return new AttemptFailure(requestIsWrong ? Kind.REJECTED : Kind.INVALID_ANSWER, "status " + status);
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
        silence.heard();
        StreamEvent read = StreamEventParser.read(event);
        if (read instanceof StreamEvent.Frame frame) {
            finished |= frame.finishReason() != null;
            listener.onFrame(frame);
        } else if (read == StreamEvent.Done.INSTANCE && finished) {
            closed = true;
            silence.stop();
            listener.onDone();
        } else if (read != StreamEvent.Comment.INSTANCE) {
            fail(new AttemptFailure(Kind.INVALID_ANSWER, "garbage in the stream"));
        }
    }

    /**
     * Ends the attempt with a failure; an answer that came to its end before is whole.
     *
     * @param failure The failure.
     */
    private void fail(AttemptFailure failure) {
        if (closed) {
            return;
        }
        cancel();
        if (finished) {
            listener.onDone();
        } else {
            listener.onFailed(failure);
        }
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
         * @param failure The failure.
         */
        void onFailed(AttemptFailure failure);
    }
}
