package org.cranberrygauge.emulator.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.cranberrygauge.emulator.engine.EngineFaults.Fault;
import org.cranberrygauge.emulator.web.EmulatorHttpServer;
import org.cranberrygauge.model.record.UsageFigures;

/**
 * A request that is queued on or run by an emulated engine.
 *
 * <p>Used on the event loop of its engine only.
 */
final class EngineStream {

    private final EmulatedEngine engine;

    private final RoutingContext context;

    private final ChatRequest request;

    private final String promptDigest;

    private final int promptTokens;

    /** The position of the next token in the complete answer; a resumed request does not start at 0. */
    private int position;

    /** The number of tokens generated for this request, without those delivered before it was resumed. */
    private int generated;

    private boolean ended;

    EngineStream(EmulatedEngine engine, RoutingContext context, ChatRequest request) {
        this.engine = engine;
        this.context = context;
        this.request = request;
        this.promptDigest = TokenText.digest(request.promptText());
        this.promptTokens = TokenText.count(request.promptText());
        this.position = request.resumeFrom() == null ? 0 : request.resumeFrom();
    }

    ChatRequest request() {
        return request;
    }

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
        if (injectFault()) {
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
     * Injects a fault into the stream, if one is on and its number of tokens has been generated.
     *
     * @return Whether the stream was broken and generates no further tokens.
     */
    private boolean injectFault() {
        if (isTriggered(Fault.BREAK_AFTER_TOKENS)) {
            EmulatorHttpServer.dropConnection(context);
            return true;
        }
        if (isTriggered(Fault.GARBAGE_AFTER_TOKENS)) {
            context.response().write("data: {\"choices\": 7\n\n");
            return true;
        }
        return isTriggered(Fault.HANG_AFTER_TOKENS);
    }

    /** Returns whether a fault is on whose strength, a number of tokens, has been generated. */
    private boolean isTriggered(Fault fault) {
        return engine.faults().isOn(fault) && generated >= engine.faults().strength(fault);
    }

    /** Returns the priority sent by the caller; 0, the default, is the highest. */
    int priority() {
        String header = context.request().getHeader(EmulatedEngine.PRIORITY_HEADER);
        return header == null ? 0 : Integer.parseInt(header);
    }

    /**
     * Cancels the request and counts the usage so far.
     *
     * @return Whether the request had not ended before.
     */
    boolean cancel() {
        boolean first = !ended;
        if (first) {
            countUsage();
        }
        ended = true;
        return first;
    }

    private void writeToken() {
        HttpServerResponse response = context.response();
        if (generated == 0) {
            addAttemptHeader(response.setChunked(true).putHeader("Content-Type", "text/event-stream"));
        }
        response.write("data: " + responseObject(chunkType(), streamChoice()).encode() + "\n\n");
    }

    /** Builds the choice with the next token. The first part of a tool call carries its identifier and name. */
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

    private boolean isChat() {
        return request.messages() != null;
    }

    private String chunkType() {
        return isChat() ? "chat.completion.chunk" : "text_completion";
    }

    private String finishReason() {
        if (request.toolCall() != null) {
            return "tool_calls";
        }
        return request.isCut() ? "length" : "stop";
    }

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
            JsonObject last = responseObject(chunkType(), choice).put("usage", usage);
            if (generated == 0) {
                addAttemptHeader(response.setChunked(true).putHeader("Content-Type", "text/event-stream"));
            }
            response.end("data: " + last.encode() + "\n\ndata: [DONE]\n\n");
        } else {
            JsonObject message =
                    new JsonObject().put("role", "assistant").put("content", TokenText.answer(promptDigest, position));
            JsonObject choice =
                    new JsonObject().put("index", 0).put("message", message).put("finish_reason", finishReason());
            addAttemptHeader(response.putHeader("Content-Type", "application/json"))
                    .end(responseObject("chat.completion", choice)
                            .put("usage", usage)
                            .encode());
        }
        engine.finish(this);
    }

    private void countUsage() {
        String label = context.request().getHeader(EmulatedEngine.USAGE_LABEL_HEADER);
        engine.count(String.valueOf(label), new UsageFigures(1, promptTokens, generated));
    }

    /** Adds the attempt identifier of the request to the response, or a wrong one if the fault CROSSED is on. */
    private HttpServerResponse addAttemptHeader(HttpServerResponse response) {
        String attempt = context.request().getHeader("X-Attempt-Id");
        if (engine.faults().isOn(Fault.CROSSED)) {
            return response.putHeader("X-Attempt-Id", "another-attempt");
        }
        return attempt == null ? response : response.putHeader("X-Attempt-Id", attempt);
    }

    private JsonObject responseObject(String object, JsonObject choice) {
        return new JsonObject()
                .put("id", "chatcmpl-" + promptDigest)
                .put("object", object)
                .put("created", System.currentTimeMillis() / 1000)
                .put("model", request.model())
                .put("choices", new JsonArray().add(choice));
    }
}
