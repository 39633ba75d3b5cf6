package org.cranberrygauge.emulator.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.cranberrygauge.emulator.web.StandInServer;
import org.cranberrygauge.model.record.UsageFigures;

/**
 * One request that an engine runs.
 *
 * <p>Used on the event loop of its engine only.
 */
final class EngineStream {

    /** The engine. */
    private final EngineStandIn engine;

    /** The exchange. */
    private final RoutingContext context;

    /** The request. */
    private final ChatRequest request;

    /** The short digest of the prompt. */
    private final String promptDigest;

    /** The number of prompt tokens. */
    private final int promptTokens;

    /** The position of the next token. */
    private int position;

    /** The number of tokens generated here. */
    private int generated;

    /** Whether the request has ended. */
    private boolean ended;

    /**
     * Creates a stream.
     *
     * @param engine The engine.
     * @param context The exchange.
     * @param request The request.
     */
    EngineStream(EngineStandIn engine, RoutingContext context, ChatRequest request) {
        this.engine = engine;
        this.context = context;
        this.request = request;
        this.promptDigest = TokenText.digest(request.promptText());
        this.promptTokens = TokenText.count(request.promptText());
        this.position = request.resumeFrom() == null ? 0 : request.resumeFrom();
    }

    /**
     * Returns the request.
     *
     * @return The request.
     */
    ChatRequest request() {
        return request;
    }

    /**
     * Returns the number of prompt tokens.
     *
     * @return The number.
     */
    int promptTokens() {
        return promptTokens;
    }

    /** Generates the next token, or ends the request. */
    void step() {
        if (ended) {
            return;
        }
        if (position >= request.outputTokens()) {
            end();
            return;
        }
        if (engine.breakAfterTokens() > 0 && generated >= engine.breakAfterTokens()) {
            countUsage();
            StandInServer.drop(context);
            return;
        }
        if (request.stream()) {
            writeToken();
        }
        position++;
        generated++;
        engine.scheduleToken(this);
    }

    /**
     * Marks the request as cancelled.
     *
     * @return Whether it had not ended before.
     */
    boolean cancel() {
        boolean first = !ended;
        if (first) {
            countUsage();
        }
        ended = true;
        return first;
    }

    /** Writes the next token as an event. */
    private void writeToken() {
        HttpServerResponse response = context.response();
        if (generated == 0) {
            prepare(response.setChunked(true).putHeader("Content-Type", "text/event-stream"));
        }
        JsonObject delta = new JsonObject().put("content", TokenText.token(promptDigest, position));
        if (position == 0) {
            delta.put("role", "assistant");
        }
        JsonObject choice = new JsonObject().put("index", 0).put("delta", delta).putNull("finish_reason");
        response.write("data: " + frame("chat.completion.chunk", choice).encode() + "\n\n");
    }

    /** Ends the request with its last event or its whole answer. */
    private void end() {
        ended = true;
        countUsage();
        HttpServerResponse response = context.response();
        JsonObject usage = new JsonObject()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", position)
                .put("total_tokens", promptTokens + position);
        if (request.stream()) {
            JsonObject choice = new JsonObject()
                    .put("index", 0)
                    .put("delta", new JsonObject())
                    .put("finish_reason", "stop");
            JsonObject last = frame("chat.completion.chunk", choice).put("usage", usage);
            if (generated == 0) {
                prepare(response.setChunked(true).putHeader("Content-Type", "text/event-stream"));
            }
            response.end("data: " + last.encode() + "\n\ndata: [DONE]\n\n");
        } else {
            JsonObject message =
                    new JsonObject().put("role", "assistant").put("content", TokenText.answer(promptDigest, position));
            JsonObject choice =
                    new JsonObject().put("index", 0).put("message", message).put("finish_reason", "stop");
            prepare(response.putHeader("Content-Type", "application/json"))
                    .end(frame("chat.completion", choice).put("usage", usage).encode());
        }
        engine.finish(this);
    }

    /** Counts what was generated here. */
    private void countUsage() {
        String label = context.request().getHeader(EngineStandIn.USAGE_LABEL_HEADER);
        engine.count(String.valueOf(label), new UsageFigures(1, promptTokens, generated));
    }

    /**
     * Echoes the attempt on the answer.
     *
     * @param response The answer.
     * @return The answer.
     */
    private HttpServerResponse prepare(HttpServerResponse response) {
        String attempt = context.request().getHeader("X-Attempt-Id");
        return attempt == null ? response : response.putHeader("X-Attempt-Id", attempt);
    }

    /**
     * Builds the frame of an event or answer.
     *
     * @param object The kind of object.
     * @param choice The choice.
     * @return The frame.
     */
    private JsonObject frame(String object, JsonObject choice) {
        return new JsonObject()
                .put("id", "chatcmpl-" + promptDigest)
                .put("object", object)
                .put("created", System.currentTimeMillis() / 1000)
                .put("model", request.model())
                .put("choices", new JsonArray().add(choice));
    }
}
