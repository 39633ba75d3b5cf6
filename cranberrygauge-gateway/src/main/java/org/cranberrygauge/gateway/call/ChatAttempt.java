package org.cranberrygauge.gateway.call;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.parsetools.RecordParser;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.decision.memory.Reservation;
import org.cranberrygauge.gateway.call.AttemptFailure.Kind;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * One attempt to run a completion on a backend server.
 *
 * <p>Invariants: the listener is notified of exactly one end, unless the attempt is cancelled; anything received after
 * the end, or for another attempt, is dropped; a connection whose exchange did not complete is closed. Used on the
 * context of the caller's connection.
 */
final class ChatAttempt {

    private static final int OK = 200;

    private static final int BAD_REQUEST = 400;

    /** The client error statuses that describe the state of the backend server rather than a fault of the request. */
    private static final Set<Integer> BACKEND_STATE_STATUSES = Set.of(401, 403, 404, 408, 409, 425, 429);

    private static final int SERVER_ERROR = 500;

    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private final String attempt;

    private final BackendServer server;

    private final Listener listener;

    private final InactivityTimer inactivity;

    private HttpClientRequest request;

    /** Null until the head of the response was received. */
    private HttpClientResponse response;

    /** Whether an event with a finish reason was received. */
    private boolean finished;

    /** Whether the response is not read. */
    private boolean paused;

    /** Whether the attempt ended or was cancelled. */
    private boolean closed;

    ChatAttempt(String attempt, BackendServer server, Listener listener, CallDependencies dependencies, Vertx vertx) {
        this.attempt = attempt;
        this.server = server;
        this.listener = listener;
        this.inactivity = new InactivityTimer(
                vertx,
                dependencies.time(),
                dependencies.client().idleTimeoutMillis(),
                () -> fail(new AttemptFailure(Kind.TIMEOUT, "no byte received within the timeout")));
    }

    String attempt() {
        return attempt;
    }

    BackendServer server() {
        return server;
    }

    /**
     * Opens the request and sends the body.
     *
     * @param ownConnection Whether to open a connection for this attempt only.
     */
    void start(BackendClient client, String path, boolean ownConnection, Map<String, String> headers, Buffer body) {
        client.open(server, HttpMethod.POST, path, attempt, ownConnection, headers)
                .onSuccess(opened -> send(opened, body))
                .onFailure(failure -> fail(new AttemptFailure(Kind.NOT_CONNECTED, "no connection")));
    }

    /** Cancels the attempt, also at the backend server, by resetting the connection. */
    void cancel() {
        closed = true;
        inactivity.stop();
        if (request != null) {
            request.reset();
        }
    }

    /**
     * Reserves memory for what the listener keeps of a chunk; called while the listener is notified of it. The response is
     * not read on while the memory is used up, and the attempt fails if the whole response takes too much of it.
     *
     * @param bytes The size of what is kept, in bytes.
     */
    void keep(int bytes, Reservation memory, Context context) {
        if (bytes > ResponseMemory.MAX_RESPONSE_BYTES - memory.bytes()) {
            fail(AttemptFailure.TOO_LONG);
        } else {
            ResponseMemory.add(memory, bytes, response, context);
        }
    }

    /** Stops reading the response, which can't time out meanwhile; called while the listener is notified of a chunk. */
    void pause() {
        if (!closed && !paused) {
            paused = true;
            inactivity.stop();
            response.pause();
        }
    }

    /** Reads the response again after {@link #pause}. */
    void resume() {
        if (!closed && paused) {
            paused = false;
            inactivity.start();
            response.resume();
        }
    }

    private void send(HttpClientRequest opened, Buffer body) {
        request = opened;
        if (closed) {
            opened.reset();
            return;
        }
        inactivity.start();
        opened.send(body)
                .onSuccess(this::receive)
                .onFailure(failure -> fail(AttemptFailure.broken(failure, "connection lost")));
    }

    private void receive(HttpClientResponse received) {
        response = received;
        response.exceptionHandler(failure -> fail(AttemptFailure.broken(failure, "stream broken")));
        if (!BackendClient.answers(response, attempt)) {
            fail(new AttemptFailure(Kind.INVALID_ANSWER, "response to another attempt"));
            return;
        }
        if (response.statusCode() != OK) {
            fail(failureFor(response.statusCode()));
            return;
        }
        RecordParser parser = RecordParser.newDelimited("\n\n", this::handleEvent);
        parser.maxRecordSize(MAX_EVENT_BYTES);
        parser.exceptionHandler(failure -> fail(new AttemptFailure(Kind.INVALID_ANSWER, "event too large")));
        response.endHandler(end -> fail(new AttemptFailure(Kind.INVALID_ANSWER, "stream ended early")));
        response.handler(parser);
    }

    /** Classifies a response status other than 200. */
    private static AttemptFailure failureFor(int status) {
        boolean requestRejected =
                status >= BAD_REQUEST && status < SERVER_ERROR && !BACKEND_STATE_STATUSES.contains(status);
        return new AttemptFailure(requestRejected ? Kind.REJECTED : Kind.INVALID_ANSWER, "status " + status);
    }

    private void handleEvent(Buffer event) {
        if (closed) {
            return;
        }
        inactivity.recordActivity();
        StreamEvent parsed = StreamEventParser.parse(event);
        if (parsed instanceof StreamEvent.Chunk chunk) {
            finished |= chunk.finishReason() != null;
            listener.onChunk(chunk);
        } else if (parsed == StreamEvent.Done.INSTANCE && finished) {
            closed = true;
            inactivity.stop();
            // What follows the last event is read, so that the connection can be used again.
            response.resume();
            listener.onDone();
        } else if (parsed != StreamEvent.Comment.INSTANCE) {
            fail(new AttemptFailure(Kind.INVALID_ANSWER, "malformed event in the stream"));
        }
    }

    /**
     * Ends the attempt with a failure, or successfully if a finish reason was received before: the answer is then
     * complete.
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

    /** Receives the events of an attempt. */
    interface Listener {

        /** Called for each chunk of the answer. */
        void onChunk(StreamEvent.Chunk chunk);

        /** Called once the answer is complete. */
        void onDone();

        /** Called if the attempt failed. */
        void onFailed(AttemptFailure failure);
    }
}
