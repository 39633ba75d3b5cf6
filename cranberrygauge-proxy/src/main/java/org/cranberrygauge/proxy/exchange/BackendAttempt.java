package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.cranberrygauge.decision.hostload.LateSend;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.exchange.HeaderCodec.BackendHeaders;
import org.cranberrygauge.proxy.exchange.HeaderCodec.BackendResponseHeaders;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.stream.EventSequence;
import org.cranberrygauge.proxy.stream.EventSplitter;
import org.cranberrygauge.runtime.http.ResponseFraming;
import org.cranberrygauge.runtime.http.StatusLine;

/**
 * One attempt at a backend server.
 *
 * <p>Invariants: the listener is notified of exactly one outcome, and of nothing after it or after the attempt was
 * abandoned. A response that names another request, or a successful one without a signature, counts as broken. Not
 * thread-safe.
 */
final class BackendAttempt {

    /** The status from which a response is a server error. */
    private static final int SERVER_ERROR_STATUS = 500;

    private static final int SUCCESS_STATUS = 200;

    private static final int REDIRECT_STATUS = 300;

    private static final int HIGHEST_STATUS = 599;

    /** The maximum size of a response body that is buffered. */
    static final int MAXIMUM_BUFFERED_BYTES = 8 << 20;

    private final BackendClient client;

    private final HeaderCodec codec;

    private final ProxyRequest request;

    private final Backend backend;

    private final Listener listener;

    private final EventSplitter splitter = new EventSplitter();

    /** The events of this response so far, also those of earlier attempts. */
    private final EventSequence sequence;

    /** Null until a connection is established. */
    private HttpClientRequest backendRequest;

    /** Null until the response headers have arrived. */
    private HttpClientResponse response;

    /** The bytes of the response that this attempt has reserved. */
    private long reservedBytes;

    private boolean ended;

    BackendAttempt(
            BackendClient client,
            HeaderCodec codec,
            ProxyRequest request,
            EventSequence sequence,
            Backend backend,
            Listener listener) {
        this.client = client;
        this.codec = codec;
        this.request = request;
        this.sequence = sequence;
        this.backend = backend;
        this.listener = listener;
    }

    /**
     * Opens a connection and sends the request, which resumes the stream after the last event of its sequence.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    void start(long nowMillis) {
        sequence.beginAttempt();
        long remainingMillis = request.deadlineMillis() - nowMillis;
        BackendHeaders proxyHeaders = new BackendHeaders(
                request.id(), backend.id(), remainingMillis, request.customer(), request.urgency(), sequence.lastId());
        client.open(request, backend.address())
                .onSuccess(opened -> send(opened, nowMillis, proxyHeaders))
                .onFailure(failure -> fail(AttemptOutcome.NOT_CONNECTED, String.valueOf(failure.getMessage())));
    }

    Backend backend() {
        return backend;
    }

    /**
     * Ends the attempt without notifying the listener. The connection is closed, which cancels the request at the
     * backend server.
     */
    void abandon() {
        ended = true;
        if (backendRequest != null) {
            backendRequest.reset();
        }
    }

    /** Stops reading from the backend server until the caller has read what waits for it. */
    void pauseUntilDrained(CallerResponse caller) {
        response.pause();
        caller.onDrained(drained -> response.resume());
    }

    private void send(HttpClientRequest opened, long startedMillis, BackendHeaders proxyHeaders) {
        backendRequest = opened;
        opened.exceptionHandler(failure -> failBroken(String.valueOf(failure.getMessage())));
        LateSend decision = ended ? LateSend.CALLER_LEFT : listener.beforeSend(backend, startedMillis);
        if (decision == LateSend.CALLER_LEFT) {
            ended = true;
            opened.reset();
            return;
        }
        if (decision == LateSend.NOT_ALLOWED) {
            opened.reset();
            fail(AttemptOutcome.NOT_CONNECTED, "must not be sent any more");
            return;
        }
        try {
            codec.encodeBackend(request.headers(), proxyHeaders, opened.headers());
        } catch (IllegalArgumentException exception) {
            opened.reset();
            fail(AttemptOutcome.NOT_CONNECTED, "request can't be encoded: " + exception.getMessage());
            return;
        }
        listener.onSent();
        (request.body().length() == 0 && !declaresBody() ? opened.send() : opened.send(request.body()))
                .onSuccess(this::readHeaders)
                .onFailure(failure -> failBroken(String.valueOf(failure.getMessage())));
    }

    /** Tells whether the caller declared a body, even an empty one. */
    private boolean declaresBody() {
        return request.headers().contains("Content-Length") || request.headers().contains("Transfer-Encoding");
    }

    private void readHeaders(HttpClientResponse backendResponse) {
        if (ended) {
            return;
        }
        response = backendResponse;
        backendResponse.exceptionHandler(failure -> failBroken(String.valueOf(failure.getMessage())));
        BackendResponseHeaders responseHeaders =
                codec.decodeResponse(backendResponse.statusCode(), backendResponse.headers());
        if (responseHeaders.requestId().filter(id -> !id.equals(request.id())).isPresent()) {
            failBroken("response names another request");
            return;
        }
        if (!isFinal(backendResponse.statusCode())) {
            failBroken("status " + backendResponse.statusCode());
            return;
        }
        listener.onHeaders(responseHeaders);
        if (responseHeaders.notRun()) {
            client.discard(backendResponse);
            fail(AttemptOutcome.NOT_RUN, "status " + backendResponse.statusCode());
            return;
        }
        boolean success =
                backendResponse.statusCode() >= SUCCESS_STATUS && backendResponse.statusCode() < REDIRECT_STATUS;
        if (success && !responseHeaders.signature()) {
            failBroken("success without a signature");
            return;
        }
        if (success && request.route().kind().streams()) {
            readStream(backendResponse);
        } else {
            readBuffered(backendResponse);
        }
    }

    private static boolean isFinal(int status) {
        return status >= SUCCESS_STATUS && status <= HIGHEST_STATUS;
    }

    private void readBuffered(HttpClientResponse backendResponse) {
        Buffer body = Buffer.buffer();
        backendResponse.handler(bytes -> {
            if (ended) {
                return;
            }
            if (body.length() + bytes.length() > MAXIMUM_BUFFERED_BYTES) {
                failBroken("response exceeds the buffer limit");
                return;
            }
            body.appendBuffer(bytes);
            reserve(bytes.length());
            if (request.memory().pauses(backendResponse::resume)) {
                backendResponse.pause();
            }
        });
        backendResponse.endHandler(end -> {
            if (ended) {
                return;
            }
            if (StatusLine.isWithin(body, request.id())) {
                failBroken("the body of a response holds a second response");
                return;
            }
            ended = true;
            listener.onResponse(new BufferedResponse(
                    backendResponse.statusCode(), backendResponse.headers(), body, isFramed(backendResponse)));
        });
    }

    private void readStream(HttpClientResponse backendResponse) {
        backendResponse.handler(bytes -> {
            if (ended) {
                return;
            }
            Buffer events = splitter.append(bytes);
            reserve(splitter.partialBytes() - reservedBytes);
            int accepted = sequence.accept(events);
            if (accepted > 0) {
                listener.onEvents(backendResponse, isFramed(backendResponse), events.getBuffer(0, accepted));
            }
            if (accepted < events.length()) {
                failBroken("event does not follow " + sequence.lastId().orElse("-"));
            } else if (splitter.isTooLong()) {
                failBroken("event exceeds the limit");
            }
        });
        backendResponse.endHandler(end -> {
            if (splitter.hasPartialEvent()) {
                failBroken("stream ended within an event");
                return;
            }
            if (sequence.isEmpty() && !isFramed(backendResponse)) {
                failBroken("stream ended before its first event");
                return;
            }
            if (!ended) {
                ended = true;
                listener.onStreamEnd(backendResponse, isFramed(backendResponse));
            }
        });
    }

    /**
     * Ends the attempt because the connection broke or the response is unusable. The connection is closed before the
     * listener can start another attempt.
     */
    private void failBroken(String detail) {
        if (ended) {
            return;
        }
        ended = true;
        releaseResponse();
        backendRequest.reset();
        listener.onFailure(AttemptOutcome.BROKEN, detail);
    }

    /** @param bytes The bytes by which the retained part of the response has grown; negative if it has shrunk. */
    private void reserve(long bytes) {
        reservedBytes += bytes;
        if (bytes > 0) {
            request.memory().add(bytes);
        } else {
            request.memory().subtract(-bytes);
        }
    }

    /** Releases the response of a failed attempt, while the body stays reserved for the next one. */
    private void releaseResponse() {
        reserve(-reservedBytes);
    }

    private void fail(AttemptOutcome outcome, String detail) {
        if (ended) {
            return;
        }
        ended = true;
        listener.onFailure(outcome, detail);
    }

    /** Receives the progress and the outcome of an attempt. */
    interface Listener {

        /**
         * Decides whether the request may be sent on a connection that is open now. If the caller has left, the attempt ends
         * without an outcome, since the listener ends with the caller.
         *
         * @param startedMillis The monotonic time at which the attempt started, in milliseconds.
         */
        LateSend beforeSend(Backend backend, long startedMillis);

        /** Called when the request is about to be sent on an open connection; from then on it may run. */
        void onSent();

        /** Called when the headers of a response to this request have arrived. */
        void onHeaders(BackendResponseHeaders headers);

        /**
         * Called when complete events of a stream have arrived that follow those before.
         *
         * @param framed Whether more than the end of the connection will show that the response is complete.
         */
        void onEvents(HttpClientResponse response, boolean framed, Buffer events);

        /**
         * Called when a stream has ended, and not within an event.
         *
         * @param framed Whether more than the end of the connection shows that it is complete.
         */
        void onStreamEnd(HttpClientResponse response, boolean framed);

        /** Called when a response that is no stream has arrived completely. */
        void onResponse(BufferedResponse response);

        /** Called when the attempt failed. */
        void onFailure(AttemptOutcome outcome, String detail);
    }

    private boolean isFramed(HttpClientResponse backendResponse) {
        return ResponseFraming.isFramed(request.method(), backendResponse.statusCode(), backendResponse.headers());
    }

    /**
     * A response that has ended.
     *
     * @param framed Whether more than the end of the connection shows that it is complete.
     */
    record BufferedResponse(int status, MultiMap headers, Buffer body, boolean framed) {

        boolean isServerError() {
            return status >= SERVER_ERROR_STATUS;
        }
    }
}
