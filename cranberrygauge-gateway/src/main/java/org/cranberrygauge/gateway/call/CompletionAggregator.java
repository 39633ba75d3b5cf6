package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * Aggregates the chunks of a stream into one response for callers that did not ask for a stream.
 *
 * <p>Used by one thread at a time.
 */
final class CompletionAggregator {

    private final StringBuilder text = new StringBuilder();

    private final Map<Integer, JsonObject> toolCalls = new TreeMap<>();

    private JsonObject last = new JsonObject();

    private String finishReason = "stop";

    /** Adds a chunk, and returns by how many bytes the response grows, with one for each character. */
    int add(StreamEvent.Chunk chunk) {
        int bytes = chunk.content() == null ? 0 : chunk.content().length();
        last = chunk.json();
        if (chunk.content() != null) {
            text.append(chunk.content());
        }
        if (chunk.finishReason() != null) {
            finishReason = chunk.finishReason();
        }
        for (int index = 0; index < chunk.toolCalls().size(); index++) {
            JsonObject part = chunk.toolCalls().getJsonObject(index);
            addToolCall(part);
            bytes += part.encode().length();
        }
        return bytes;
    }

    /**
     * Builds the response body. It states no usage if the backend server stated none.
     *
     * @param chat Whether to build the response of a chat completion rather than that of a plain completion.
     * @param promptTokens The number of prompt tokens as counted by the backend server; negative if not stated.
     */
    Buffer build(boolean chat, int promptTokens, int outputTokens) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", finishReason);
        if (chat) {
            choice.put("message", message());
        } else {
            choice.put("text", text.toString());
        }
        JsonObject completion = last.copy()
                .put("object", chat ? "chat.completion" : "text_completion")
                .put("choices", new JsonArray().add(choice));
        completion.remove("usage");
        if (promptTokens < 0) {
            return completion.toBuffer();
        }
        JsonObject usage = new JsonObject()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", outputTokens)
                .put("total_tokens", promptTokens + outputTokens);
        return completion.put("usage", usage).toBuffer();
    }

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

    /** Appends a fragment to the tool call with the same index. */
    private void addToolCall(JsonObject part) {
        JsonObject call = toolCalls.computeIfAbsent(
                part.getInteger("index", 0), index -> new JsonObject().put("type", "function"));
        if (part.getString("id") != null) {
            call.put("id", part.getString("id"));
        }
        JsonObject function = part.getJsonObject("function", new JsonObject());
        JsonObject merged = call.getJsonObject("function", new JsonObject());
        for (String name : function.fieldNames()) {
            merged.put(name, merged.getString(name, "") + function.getString(name));
        }
        call.put("function", merged);
    }
}
