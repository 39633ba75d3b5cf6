package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * The body of a completion.
 *
 * @param json The body.
 * @param model The model.
 * @param stream Whether the caller asked for a stream.
 * @param promptTokens The estimated number of prompt tokens.
 * @param maxTokens The highest number of output tokens, or the standard estimate.
 * @param prefixDigest The digest of the prompt's first part.
 */
public record ChatBody(
        JsonObject json, String model, boolean stream, int promptTokens, int maxTokens, String prefixDigest) {

    /** The number of output tokens that is estimated where the caller sets no limit. */
    private static final int STANDARD_OUTPUT_TOKENS = 256;

    /** The number of characters of one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Reads a body.
     *
     * @param body The body.
     * @return The body as read.
     * @throws CranberrygaugeException If it is no completion.
     */
    public static ChatBody read(Buffer body) throws CranberrygaugeException {
        try {
            JsonObject json = new JsonObject(body);
            String model = json.getString("model");
            if (model == null) {
                throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field model is missing");
            }
            String prefix = prefixOf(json);
            Integer limit = json.getInteger("max_tokens", json.getInteger("max_completion_tokens"));
            return new ChatBody(
                    json,
                    model,
                    json.getBoolean("stream", false),
                    body.length() / CHARACTERS_PER_TOKEN + 1,
                    limit == null ? STANDARD_OUTPUT_TOKENS : limit,
                    KeyDigest.digest(prefix.getBytes(StandardCharsets.UTF_8)));
        } catch (DecodeException | ClassCastException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, "the body is no JSON of a completion", exception);
        }
    }

    /**
     * Builds the body for a backend server, which is always asked to stream.
     *
     * @param delivered The number of output tokens that were delivered before.
     * @return The body.
     */
    public Buffer forBackend(int delivered) {
        JsonObject copy = json.copy().put("stream", true);
        copy.put("stream_options", new JsonObject().put("include_usage", true));
        if (delivered > 0) {
            copy.put("resume_from", delivered);
        }
        return copy.toBuffer();
    }

    /**
     * Returns what routing needs to know.
     *
     * @return The request.
     */
    public RoutingRequest routing() {
        return new RoutingRequest(model, prefixDigest, promptTokens);
    }

    /**
     * Finds the first part of the prompt.
     *
     * @param json The body.
     * @return The text.
     * @throws CranberrygaugeException If there is no prompt.
     */
    private static String prefixOf(JsonObject json) throws CranberrygaugeException {
        JsonArray messages = json.getJsonArray("messages");
        if (messages == null) {
            Object prompt = json.getValue("prompt");
            if (prompt == null) {
                throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field messages is missing");
            }
            return String.valueOf(prompt);
        }
        if (messages.isEmpty()) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field messages is empty");
        }
        return String.valueOf(messages.getJsonObject(0).getValue("content"));
    }
}
