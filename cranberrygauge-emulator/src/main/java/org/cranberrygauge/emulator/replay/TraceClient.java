package org.cranberrygauge.emulator.replay;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrygauge.emulator.engine.TokenText;
import org.cranberrygauge.emulator.service.EmulatedService;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * Sends the requests of a trace as callers do.
 *
 * <p>A request refused as not run is sent to the next gateway after the time given by the refusal. Used on one event
 * loop.
 */
final class TraceClient {

    private static final int OK = 200;

    /** The maximum number of connections to each gateway. */
    private static final int MAX_CONNECTIONS_PER_GATEWAY = 512;

    private static final long TIMEOUT_MILLIS = 60_000;

    private static final String DATA_PREFIX = "data: ";

    private static final String DONE_DATA = "[DONE]";

    private final Vertx vertx;

    private final HttpClient client;

    /** Gateways in the order of round-robin balancing. */
    private final List<NetworkAddress> gateways;

    private final Map<String, String> keys;

    /** The maximum number of times that a request is sent. */
    private final int maxAttempts;

    /** The number of requests sent, which selects the next gateway. */
    private final AtomicInteger sent = new AtomicInteger();

    TraceClient(Vertx vertx, List<NetworkAddress> gateways, Map<String, String> keys, int maxAttempts) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_GATEWAY));
        this.gateways = gateways;
        this.keys = keys;
        this.maxAttempts = maxAttempts;
    }

    /**
     * Sends a request until it has a final outcome.
     *
     * @return The outcome; the future never fails.
     */
    Future<ReplayOutcome> call(TraceRequest request) {
        return attempt(request, 1);
    }

    private Future<ReplayOutcome> attempt(TraceRequest request, int number) {
        NetworkAddress gateway = gateways.get(Math.floorMod(sent.getAndIncrement(), gateways.size()));
        long startNanos = System.nanoTime();
        Attempt attempt = new Attempt(request, number, startNanos);
        return client.request(options(request, gateway))
                .compose(sending -> send(sending, request))
                .compose(response -> receive(response, attempt))
                .otherwise(failure -> attempt.outcome(0, "no_answer", false))
                .compose(outcome -> retry(outcome, attempt));
    }

    /** Sends a request again if it was refused as not run and attempts remain. */
    private Future<ReplayOutcome> retry(ReplayOutcome outcome, Attempt attempt) {
        if (!outcome.notRun() || outcome.tries() >= maxAttempts) {
            return Future.succeededFuture(outcome);
        }
        Promise<ReplayOutcome> promise = Promise.promise();
        vertx.setTimer(
                Math.max(1, attempt.retryAfterMillis),
                timer -> attempt(outcome.request(), outcome.tries() + 1).onComplete(promise));
        return promise.future();
    }

    private RequestOptions options(TraceRequest request, NetworkAddress gateway) {
        boolean chat = request.kind() == TraceRequest.Kind.CHAT;
        RequestOptions options = new RequestOptions()
                .setHost(gateway.host())
                .setPort(gateway.port())
                .setIdleTimeout(TIMEOUT_MILLIS)
                .setMethod(chat ? HttpMethod.POST : HttpMethod.valueOf(request.method()))
                .setURI(chat ? "/v1/chat/completions" : request.path())
                .putHeader("Authorization", "Bearer " + keys.get(request.customer()))
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Service-Class", request.className())
                .putHeader(EmulatedService.CALL_HEADER, request.callId());
        if (request.mutates()) {
            options.putHeader("Idempotency-Key", request.callId());
        }
        return options;
    }

    private static Future<HttpClientResponse> send(HttpClientRequest sending, TraceRequest request) {
        if (request.kind() == TraceRequest.Kind.CALL) {
            return request.mutates()
                    ? sending.send(
                            new JsonObject().put("call", request.callId()).toBuffer())
                    : sending.send();
        }
        TraceRequest.Prompt prompt = request.prompt();
        JsonArray messages = new JsonArray()
                .add(new JsonObject().put("role", "system").put("content", prompt.first()))
                .add(new JsonObject().put("role", "user").put("content", prompt.rest()));
        JsonObject body = new JsonObject()
                .put("model", request.model())
                .put("stream", true)
                .put("messages", messages)
                .put("metadata", new JsonObject().put("output_tokens", String.valueOf(request.outputTokens())));
        return sending.send(body.toBuffer());
    }

    private static Future<ReplayOutcome> receive(HttpClientResponse response, Attempt attempt) {
        if (response.statusCode() != OK) {
            return response.body().map(body -> rejected(response, body, attempt));
        }
        if (attempt.request.kind() == TraceRequest.Kind.CALL) {
            return response.body().map(body -> {
                attempt.recordToken();
                boolean own = body.toString().contains(attempt.request.callId());
                return attempt.outcome(OK, "", own);
            });
        }
        Promise<ReplayOutcome> promise = Promise.promise();
        response.handler(RecordParser.newDelimited("\n\n", attempt::receiveEvent));
        response.exceptionHandler(failure -> promise.tryComplete(attempt.outcome(OK, "broken", false)));
        response.endHandler(end -> promise.tryComplete(attempt.outcome(OK, attempt.error, attempt.isComplete())));
        return promise.future();
    }

    /** Reads an error response. */
    private static ReplayOutcome rejected(HttpClientResponse response, Buffer body, Attempt attempt) {
        JsonObject error = new JsonObject(body).getJsonObject("error", new JsonObject());
        String retryAfter = response.getHeader("Retry-After");
        attempt.retryAfterMillis = retryAfter == null ? 1 : TimeUnit.SECONDS.toMillis(Long.parseLong(retryAfter));
        attempt.notRun = error.getBoolean("not_run", false);
        return attempt.outcome(response.statusCode(), error.getString("code", ""), false);
    }

    /** One attempt of a request. */
    private static final class Attempt {

        private static final double NANOS_PER_MILLI = 1e6;

        private final TraceRequest request;

        private final int number;

        private final long startNanos;

        private final StringBuilder text = new StringBuilder();

        private long firstNanos;

        private long lastNanos;

        private int tokens;

        /** Whether the last event was received. */
        private boolean done;

        /** The error code within the stream, or an empty string. */
        private String error = "";

        private boolean notRun;

        /** The delay before the next attempt, as requested by the gateway. */
        private long retryAfterMillis;

        private Attempt(TraceRequest request, int number, long startNanos) {
            this.request = request;
            this.number = number;
            this.startNanos = startNanos;
        }

        private void recordToken() {
            lastNanos = System.nanoTime();
            if (tokens == 0) {
                firstNanos = lastNanos;
            }
            tokens++;
        }

        private void receiveEvent(Buffer event) {
            String line = event.toString();
            if (!line.startsWith(DATA_PREFIX)) {
                return;
            }
            String data = line.substring(DATA_PREFIX.length());
            if (data.equals(DONE_DATA)) {
                done = true;
                return;
            }
            JsonObject frame = new JsonObject(data);
            if (frame.containsKey("error")) {
                error = frame.getJsonObject("error").getString("code", "error");
                return;
            }
            JsonArray choices = frame.getJsonArray("choices", new JsonArray());
            String content = choices.isEmpty()
                    ? null
                    : choices.getJsonObject(0).getJsonObject("delta").getString("content");
            if (content != null) {
                text.append(content);
                recordToken();
            }
        }

        /** Returns whether the answer is complete and consists of the expected tokens in order. */
        private boolean isComplete() {
            TraceRequest.Prompt prompt = request.prompt();
            String digest = TokenText.digest(prompt.first() + "\n" + prompt.rest() + "\n");
            return done && text.toString().equals(TokenText.answer(digest, request.outputTokens()));
        }

        private ReplayOutcome outcome(int status, String code, boolean whole) {
            double first = tokens == 0 ? -1 : (firstNanos - startNanos) / NANOS_PER_MILLI;
            double between = tokens < 2 ? -1 : (lastNanos - firstNanos) / NANOS_PER_MILLI / (tokens - 1);
            return new ReplayOutcome(request, status, code, notRun, whole, first, between, number);
        }
    }
}
