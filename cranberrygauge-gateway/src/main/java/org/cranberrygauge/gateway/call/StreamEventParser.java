package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Reads one event of a stream of completions.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class StreamEventParser {

    /** The start of the data of an event. */
    private static final String DATA = "data:";

    /** The data of the last event. */
    private static final String DONE = "[DONE]";

    /** Prevents instances. */
    private StreamEventParser() {}

    /**
     * Reads an event.
     *
     * @param event The event without its end.
     * @return What it is.
     */
    static StreamEvent read(Buffer event) {
        String text = event.toString().trim();
        if (!text.startsWith(DATA)) {
            return text.isEmpty() || text.startsWith(":") ? StreamEvent.Comment.INSTANCE : StreamEvent.Garbage.INSTANCE;
        }
        String data = text.substring(DATA.length()).trim();
        if (data.equals(DONE)) {
            return StreamEvent.Done.INSTANCE;
        }
        try {
            return read(new JsonObject(data));
        } catch (DecodeException | ClassCastException exception) {
            return StreamEvent.Garbage.INSTANCE;
        }
    }

    /**
     * Reads the frame of an event.
     *
     * @param frame The frame.
     * @return What it is.
     */
    private static StreamEvent read(JsonObject frame) {
        JsonArray choices = frame.getJsonArray("choices");
        if (choices == null) {
            return StreamEvent.Garbage.INSTANCE;
        }
        JsonObject choice = choices.isEmpty() ? new JsonObject() : choices.getJsonObject(0);
        if (choice == null) {
            return StreamEvent.Garbage.INSTANCE;
        }
        JsonObject delta = choice.getJsonObject("delta");
        String content = delta == null ? choice.getString("text") : delta.getString("content");
        JsonArray toolCalls = delta == null ? null : delta.getJsonArray("tool_calls");
        JsonObject usage = frame.getJsonObject("usage");
        Integer promptTokens = usage == null ? null : usage.getInteger("prompt_tokens");
        return new StreamEvent.Frame(
                frame,
                content,
                toolCalls == null ? new JsonArray() : toolCalls,
                choice.getString("finish_reason"),
                promptTokens == null ? -1 : promptTokens);
    }
}
