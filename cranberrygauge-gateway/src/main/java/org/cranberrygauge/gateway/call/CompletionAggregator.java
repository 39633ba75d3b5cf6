package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * Gathers the frames of a stream into one answer, for callers that asked for no stream.
 *
 * <p>Used by one thread at a time.
 */
final class WholeAnswer {

    /** The text. */
    private final StringBuilder text = new StringBuilder();

    /** The tool calls by their index. */
    private final Map<Integer, JsonObject> toolCalls = new TreeMap<>();

    /** The last frame. */
    private JsonObject last = new JsonObject();

    /** Why the answer ended. */
    private String finishReason = "stop";

    /**
     * Adds a frame.
     *
     * @param frame The frame.
     */
    void add(StreamEvent.Frame frame) {
        last = frame.json();
        if (frame.content() != null) {
            text.append(frame.content());
        }
        if (frame.finishReason() != null) {
            finishReason = frame.finishReason();
        }
        for (int index = 0; index < frame.toolCalls().size(); index++) {
            addToolCall(frame.toolCalls().getJsonObject(index));
        }
    }

    /**
     * Builds the answer.
     *
     * @param chat Whether it answers a chat, else a plain completion.
     * @param promptTokens The number of prompt tokens.
     * @param outputTokens The number of output tokens.
     * @return The answer.
     */
    Buffer build(boolean chat, int promptTokens, int outputTokens) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", finishReason);
        if (chat) {
            choice.put("message", message());
        } else {
            choice.put("text", text.toString());
        }
        JsonObject usage = new JsonObject()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", outputTokens)
                .put("total_tokens", promptTokens + outputTokens);
        return last.copy()
                .put("object", chat ? "chat.completion" : "text_completion")
                .put("choices", new JsonArray().add(choice))
                .put("usage", usage)
                .toBuffer();
    }

    /**
     * Builds the message of a chat.
     *
     * @return The message.
     */
    private JsonObject message() {
        JsonObject message = new JsonObject().put("role", "assistant");
        if (toolCalls.isEmpty()) {
            return message.put("content", text.toString());
        }
        JsonArray calls = new JsonArray();
        toolCalls.values().forEach(calls::add);
        return message.put("content", text.length() == 0 ? null : text.toString())
                .put("tool_calls", calls);
    }

    /**
     * Adds a part of a tool call.
     *
     * @param part The part.
     */
    private void addToolCall(JsonObject part) {
        JsonObject call = toolCalls.computeIfAbsent(
                part.getInteger("index", 0), index -> new JsonObject().put("type", "function"));
        if (part.getString("id") != null) {
            call.put("id", part.getString("id"));
        }
        JsonObject function = part.getJsonObject("function", new JsonObject());
        JsonObject known = call.getJsonObject("function", new JsonObject());
        for (String name : function.fieldNames()) {
            known.put(name, known.getString(name, "") + function.getString(name));
        }
        call.put("function", known);
    }
}
