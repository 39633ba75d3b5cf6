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
 * <p>Used on one event loop. A request refused as "not run" is sent again to the next gateway after the time it was told.
 */
final class TraceClient {

    /** The status of a successful answer. */
    private static final int OK = 200;

    /** The number of connections to each gateway. */
    private static final int CONNECTIONS = 512;

    /** The time after which a caller gives up in milliseconds. */
    private static final long TIMEOUT_MILLIS = 60_000;

    /** The start of the data of an event. */
    private static final String DATA = "data: ";

    /** The data of the last event. */
    private static final String DONE = "[DONE]";

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The HTTP client. */
    private final HttpClient client;

    /** The gateways, in the order in which the balancer takes them. */
    private final List<NetworkAddress> gateways;

    /** The keys by customer. */
    private final Map<String, String> keys;

    /** The highest number of times a request is sent. */
    private final int tries;

    /** The number of requests sent, by which the balancer takes the next gateway. */
    private final AtomicInteger sent = new AtomicInteger();

    /**
     * Creates a caller.
     *
     * @param vertx The Vert.x instance.
     * @param gateways The gateways.
     * @param keys The keys by customer.
     * @param tries The highest number of times a request is sent.
     */
    TraceClient(Vertx vertx, List<NetworkAddress> gateways, Map<String, String> keys, int tries) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTIONS));
        this.gateways = gateways;
        this.keys = keys;
        this.tries = tries;
    }

    /**
     * Sends a request until it has a final outcome.
     *
     * @param request The request.
     * @return The outcome, which never fails.
     */
    Future<Outcome> call(TraceRequest request) {
        return attempt(request, 1);
    }

    /**
     * Sends a request for one more time.
     *
     * @param request The request.
     * @param number The number of this try, from 1.
     * @return The outcome.
     */
    private Future<Outcome> attempt(TraceRequest request, int number) {
        NetworkAddress gateway = gateways.get(Math.floorMod(sent.getAndIncrement(), gateways.size()));
        long startNanos = System.nanoTime();
        Exchange exchange = new Exchange(request, number, startNanos);
        return client.request(options(request, gateway))
                .compose(sending -> send(sending, request))
                .compose(response -> receive(response, exchange))
                .otherwise(failure -> exchange.outcome(0, "no_answer", false))
                .compose(outcome -> repeat(outcome, exchange));
    }

    /**
     * Sends a request again where its outcome allows.
     *
     * @param outcome The outcome so far.
     * @param exchange The exchange.
     * @return The final outcome.
     */
    private Future<Outcome> repeat(Outcome outcome, Exchange exchange) {
        if (!outcome.notRun() || outcome.tries() >= tries) {
            return Future.succeededFuture(outcome);
        }
        Promise<Outcome> promise = Promise.promise();
        vertx.setTimer(
                Math.max(1, exchange.retryAfterMillis),
                timer -> attempt(outcome.request(), outcome.tries() + 1).onComplete(promise));
        return promise.future();
    }

    /**
     * Builds the options of a request.
     *
     * @param request The request.
     * @param gateway The gateway.
     * @return The options.
     */
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

    /**
     * Sends the body of a request.
     *
     * @param sending The request under way.
     * @param request The request.
     * @return The response.
     */
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

    /**
     * Receives a response.
     *
     * @param response The response.
     * @param exchange The exchange.
     * @return The outcome.
     */
    private static Future<Outcome> receive(HttpClientResponse response, Exchange exchange) {
        if (response.statusCode() != OK) {
            return response.body().map(body -> refused(response, body, exchange));
        }
        if (exchange.request.kind() == TraceRequest.Kind.CALL) {
            return response.body().map(body -> {
                exchange.token();
                boolean own = body.toString().contains(exchange.request.callId());
                return exchange.outcome(OK, "", own);
            });
        }
        Promise<Outcome> promise = Promise.promise();
        response.handler(RecordParser.newDelimited("\n\n", exchange::event));
        response.exceptionHandler(failure -> promise.tryComplete(exchange.outcome(OK, "broken", false)));
        response.endHandler(end -> promise.tryComplete(exchange.outcome(OK, exchange.error, exchange.isWhole())));
        return promise.future();
    }

    /**
     * Reads a refusal.
     *
     * @param response The response.
     * @param body The body.
     * @param exchange The exchange.
     * @return The outcome.
     */
    private static Outcome refused(HttpClientResponse response, Buffer body, Exchange exchange) {
        JsonObject error = new JsonObject(body).getJsonObject("error", new JsonObject());
        String retryAfter = response.getHeader("Retry-After");
        exchange.retryAfterMillis = retryAfter == null ? 1 : TimeUnit.SECONDS.toMillis(Long.parseLong(retryAfter));
        exchange.notRun = error.getBoolean("not_run", false);
        return exchange.outcome(response.statusCode(), error.getString("code", ""), false);
    }

    /** One try of one request. */
    private static final class Exchange {

        /** The number of nanoseconds in a millisecond. */
        private static final double NANOS_PER_MILLI = 1e6;

        /** The request. */
        private final TraceRequest request;

        /** The number of this try. */
        private final int number;

        /** The time at which it was sent. */
        private final long startNanos;

        /** The text that was received. */
        private final StringBuilder text = new StringBuilder();

        /** The time of the first token. */
        private long firstNanos;

        /** The time of the last token. */
        private long lastNanos;

        /** The number of tokens received. */
        private int tokens;

        /** Whether the last event was received. */
        private boolean done;

        /** The error that the stream told of, or an empty string. */
        private String error = "";

        /** Whether nothing was run. */
        private boolean notRun;

        /** The time to wait before the next try. */
        private long retryAfterMillis;

        /**
         * Creates an exchange.
         *
         * @param request The request.
         * @param number The number of this try.
         * @param startNanos The time at which it was sent.
         */
        private Exchange(TraceRequest request, int number, long startNanos) {
            this.request = request;
            this.number = number;
            this.startNanos = startNanos;
        }

        /** Notes the arrival of a token. */
        private void token() {
            lastNanos = System.nanoTime();
            if (tokens == 0) {
                firstNanos = lastNanos;
            }
            tokens++;
        }

        /**
         * Takes an event of a stream.
         *
         * @param event The event.
         */
        private void event(Buffer event) {
            String line = event.toString();
            if (!line.startsWith(DATA)) {
                return;
            }
            String data = line.substring(DATA.length());
            if (data.equals(DONE)) {
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
                token();
            }
        }

        /**
         * Tells whether the answer is whole and its own.
         *
         * @return Whether each token is there, in order.
         */
        private boolean isWhole() {
            TraceRequest.Prompt prompt = request.prompt();
            String digest = TokenText.digest(prompt.first() + "\n" + prompt.rest() + "\n");
            return done && text.toString().equals(TokenText.answer(digest, request.outputTokens()));
        }

        /**
         * Builds the outcome.
         *
         * @param status The HTTP status.
         * @param code The error code.
         * @param whole Whether the answer was whole.
         * @return The outcome.
         */
        private Outcome outcome(int status, String code, boolean whole) {
            double first = tokens == 0 ? -1 : (firstNanos - startNanos) / NANOS_PER_MILLI;
            double between = tokens < 2 ? -1 : (lastNanos - firstNanos) / NANOS_PER_MILLI / (tokens - 1);
            return new Outcome(request, status, code, notRun, whole, first, between, number);
        }
    }
}
