package org.cranberrygauge.emulator.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.cranberrygauge.emulator.engine.EngineFaults.Fault;
import org.cranberrygauge.emulator.web.EmulatorHttpServer;
import org.cranberrygauge.model.record.UsageFigures;

/**
 * One request that an engine runs.
 *
 * <p>Used on the event loop of its engine only.
 */
final class EngineStream {

    /** The engine. */
    private final EmulatedEngine engine;

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
    EngineStream(EmulatedEngine engine, RoutingContext context, ChatRequest request) {
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
        if (brokenByFault()) {
            return;
        }
        if (request.isStream()) {
            writeToken();
        }
        position++;
        generated++;
        engine.scheduleToken(this);
    }

    /**
     * Lets a fault break the stream, if one is on.
     *
     * @return Whether it did.
     */
    private boolean brokenByFault() {
        if (reached(Fault.BREAK_AFTER_TOKENS)) {
            EmulatorHttpServer.drop(context);
            return true;
        }
        if (reached(Fault.GARBAGE_AFTER_TOKENS)) {
            context.response().write("data: {\"choices\": 7\n\n");
            return true;
        }
        return reached(Fault.HANG_AFTER_TOKENS);
    }

    /**
     * Tells whether a fault sets in after the tokens generated so far.
     *
     * @param fault The fault, whose strength is a number of tokens.
     * @return Whether it does.
     */
    private boolean reached(Fault fault) {
        return engine.faults().isOn(fault) && generated >= engine.faults().strength(fault);
    }

    /**
     * Returns the place in the queue: engines run those of a lower number first.
     *
     * @return The priority as sent, 0 being the highest.
     */
    int priority() {
        String header = context.request().getHeader(EmulatedEngine.PRIORITY_HEADER);
        return header == null ? 0 : Integer.parseInt(header);
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
        response.write("data: " + frame(chunkObject(), streamChoice()).encode() + "\n\n");
    }

    /**
     * Builds the choice of the next token.
     *
     * @return The choice.
     */
    private JsonObject streamChoice() {
        String text = TokenText.token(promptDigest, position);
        JsonObject choice = new JsonObject().put("index", 0).putNull("finish_reason");
        if (!isChat()) {
            return choice.put("text", text);
        }
        JsonObject delta = new JsonObject();
        if (request.toolCall() == null) {
            delta.put("content", text);
        } else {
            JsonObject function = new JsonObject().put("arguments", text);
            JsonObject call = new JsonObject().put("index", 0).put("function", function);
            if (position == 0) {
                call.put("id", "call-" + promptDigest);
                function.put("name", request.toolCall());
            }
            delta.put("tool_calls", new JsonArray().add(call));
        }
        return choice.put("delta", position == 0 ? delta.put("role", "assistant") : delta);
    }

    /**
     * Tells whether this is a chat.
     *
     * @return Whether it is, else it is a plain completion.
     */
    private boolean isChat() {
        return request.messages() != null;
    }

    /**
     * Returns the kind of object of an event.
     *
     * @return The kind.
     */
    private String chunkObject() {
        return isChat() ? "chat.completion.chunk" : "text_completion";
    }

    /**
     * Tells why the answer ends.
     *
     * @return The reason.
     */
    private String finishReason() {
        if (request.toolCall() != null) {
            return "tool_calls";
        }
        return request.isCut() ? "length" : "stop";
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
        if (request.isStream()) {
            JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", finishReason());
            if (isChat()) {
                choice.put("delta", new JsonObject());
            } else {
                choice.put("text", "");
            }
            JsonObject last = frame(chunkObject(), choice).put("usage", usage);
            if (generated == 0) {
                prepare(response.setChunked(true).putHeader("Content-Type", "text/event-stream"));
            }
            response.end("data: " + last.encode() + "\n\ndata: [DONE]\n\n");
        } else {
            JsonObject message =
                    new JsonObject().put("role", "assistant").put("content", TokenText.answer(promptDigest, position));
            JsonObject choice =
                    new JsonObject().put("index", 0).put("message", message).put("finish_reason", finishReason());
            prepare(response.putHeader("Content-Type", "application/json"))
                    .end(frame("chat.completion", choice).put("usage", usage).encode());
        }
        engine.finish(this);
    }

    /** Counts what was generated here. */
    private void countUsage() {
        String label = context.request().getHeader(EmulatedEngine.USAGE_LABEL_HEADER);
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
        if (engine.faults().isOn(Fault.CROSSED)) {
            return response.putHeader("X-Attempt-Id", "another-attempt");
        }
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
