package org.cranberrygauge.gateway.call;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** One event of a completion stream. */
sealed interface StreamEvent {

    /**
     * A chunk of a completion.
     *
     * @param json The whole chunk.
     * @param content The text of a token, or null.
     * @param toolCalls The parts of tool calls; may be empty.
     * @param finishReason The reason why the answer ended, or null if it has not.
     * @param promptTokens The number of prompt tokens; -1 if not stated.
     */
    record Chunk(JsonObject json, String content, JsonArray toolCalls, String finishReason, int promptTokens)
            implements StreamEvent {}

    /** The event that ends the stream. */
    enum Done implements StreamEvent {
        INSTANCE
    }

    /** A comment, which is ignored. */
    enum Comment implements StreamEvent {
        INSTANCE
    }

    /** An event that could not be parsed. */
    enum Malformed implements StreamEvent {
        INSTANCE
    }
}
