package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Parses the events of a completion stream.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class StreamEventParser {

    /** The prefix of an event's data line. */
    private static final String DATA = "data:";

    /** The data of the event that ends a stream. */
    private static final String DONE = "[DONE]";

    private StreamEventParser() {}

    /** Parses an event, given without the blank line that terminates it. */
    static StreamEvent parse(Buffer event) {
        String text = event.toString().trim();
        if (!text.startsWith(DATA)) {
            return text.isEmpty() || text.startsWith(":")
                    ? StreamEvent.Comment.INSTANCE
                    : StreamEvent.Malformed.INSTANCE;
        }
        String data = text.substring(DATA.length()).trim();
        if (data.equals(DONE)) {
            return StreamEvent.Done.INSTANCE;
        }
        try {
            return parse(new JsonObject(data));
        } catch (DecodeException | ClassCastException exception) {
            return StreamEvent.Malformed.INSTANCE;
        }
    }

    private static StreamEvent parse(JsonObject chunk) {
        JsonArray choices = chunk.getJsonArray("choices");
        if (choices == null) {
            return StreamEvent.Malformed.INSTANCE;
        }
        JsonObject choice = choices.isEmpty() ? new JsonObject() : choices.getJsonObject(0);
        if (choice == null) {
            return StreamEvent.Malformed.INSTANCE;
        }
        JsonObject delta = choice.getJsonObject("delta");
        String content = delta == null ? choice.getString("text") : delta.getString("content");
        JsonArray toolCalls = delta == null ? null : delta.getJsonArray("tool_calls");
        JsonObject usage = chunk.getJsonObject("usage");
        Integer promptTokens = usage == null ? null : usage.getInteger("prompt_tokens");
        return new StreamEvent.Chunk(
                chunk,
                content,
                toolCalls == null ? new JsonArray() : toolCalls,
                choice.getString("finish_reason"),
                promptTokens == null ? -1 : promptTokens);
    }
}
