package org.cranberrygauge.gateway.call;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** One event of a stream of completions. */
sealed interface StreamEvent {

    /**
     * A frame.
     *
     * @param json The frame.
     * @param content The text of a token, or null.
     * @param toolCalls The parts of tool calls; empty for none.
     * @param finishReason Why the answer ended, or null.
     * @param promptTokens The number of prompt tokens; -1 if not stated.
     */
    record Frame(JsonObject json, String content, JsonArray toolCalls, String finishReason, int promptTokens)
            implements StreamEvent {}

    /** The end of the stream. */
    enum Done implements StreamEvent {
        /** The only instance. */
        INSTANCE
    }

    /** A comment, which is dropped. */
    enum Comment implements StreamEvent {
        /** The only instance. */
        INSTANCE
    }

    /** Something that is no event. */
    enum Garbage implements StreamEvent {
        /** The only instance. */
        INSTANCE
    }
}
