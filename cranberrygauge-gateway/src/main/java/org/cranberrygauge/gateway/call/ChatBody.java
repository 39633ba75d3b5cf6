package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * The body of a completion.
 *
 * @param path The path it was sent to.
 * @param json The body.
 * @param model The model.
 * @param stream Whether the caller asked for a stream.
 * @param promptTokens The estimated number of prompt tokens.
 * @param maxTokens The highest number of output tokens, or the standard estimate.
 * @param prefixDigest The digest of the prompt's first part.
 */
public record ChatBody(
        String path,
        JsonObject json,
        String model,
        boolean stream,
        int promptTokens,
        int maxTokens,
        String prefixDigest) {

    /** The path of chats. */
    public static final String CHAT_PATH = "/v1/chat/completions";

    /** The field that asks for a stream. */
    private static final String STREAM = "stream";

    /** The field with the options of a stream. */
    private static final String STREAM_OPTIONS = "stream_options";

    /** The option that asks for the usage. */
    private static final String INCLUDE_USAGE = "include_usage";

    /** The fields that change how an answer is delivered and not what is run. */
    private static final Set<String> DELIVERY_FIELDS = Set.of(STREAM, STREAM_OPTIONS);

    /** The number of output tokens that is estimated where the caller sets no limit. */
    private static final int STANDARD_OUTPUT_TOKENS = 256;

    /** The number of characters of one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Reads a body.
     *
     * @param path The path it was sent to.
     * @param body The body.
     * @return The body as read.
     * @throws CranberrygaugeException If it is no completion.
     */
    public static ChatBody read(String path, Buffer body) throws CranberrygaugeException {
        try {
            JsonObject json = new JsonObject(body);
            if (!(json.getValue("model") instanceof String model)) {
                throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field model is missing or no text");
            }
            if (orElse(json.getInteger("n"), 1) != 1) {
                throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field n must be 1");
            }
            String prefix = path.equals(CHAT_PATH) ? prefixOfMessages(json) : prefixOfPrompt(json);
            return new ChatBody(
                    path,
                    json,
                    model,
                    orElse(json.getBoolean(STREAM), false),
                    body.length() / CHARACTERS_PER_TOKEN + 1,
                    limitOf(json),
                    KeyDigest.digest(prefix.getBytes(StandardCharsets.UTF_8)));
        } catch (DecodeException | ClassCastException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, "the body is no JSON of a completion", exception);
        }
    }

    /**
     * Tells whether this is a chat.
     *
     * @return Whether it is, else it is a plain completion.
     */
    public boolean isChat() {
        return path.equals(CHAT_PATH);
    }

    /**
     * Tells whether the caller wants the usage at the end of a stream.
     *
     * @return Whether it does.
     */
    public boolean wantsUsage() {
        return json.getValue(STREAM_OPTIONS) instanceof JsonObject options
                && Boolean.TRUE.equals(options.getValue(INCLUDE_USAGE));
    }

    /**
     * Returns what is run, in a form that does not depend on the layout of the body.
     *
     * @return The text.
     */
    public String canonical() {
        return CanonicalJson.write(json, DELIVERY_FIELDS);
    }

    /**
     * Builds the body for a backend server, which is always asked to stream.
     *
     * @param delivered The number of output tokens that were delivered before.
     * @return The body.
     */
    public Buffer forBackend(int delivered) {
        JsonObject copy = json.copy().put(STREAM, true);
        copy.put(STREAM_OPTIONS, new JsonObject().put(INCLUDE_USAGE, true));
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
     * Finds the highest number of output tokens.
     *
     * @param json The body.
     * @return The number, or the standard estimate.
     * @throws CranberrygaugeException If it is not positive.
     */
    private static int limitOf(JsonObject json) throws CranberrygaugeException {
        Integer limit = orElse(json.getInteger("max_completion_tokens"), json.getInteger("max_tokens"));
        if (limit != null && limit <= 0) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field max_tokens must be positive");
        }
        return orElse(limit, STANDARD_OUTPUT_TOKENS);
    }

    /**
     * Finds the first part of a chat.
     *
     * @param json The body.
     * @return The text of the first message.
     * @throws CranberrygaugeException If there is none.
     */
    private static String prefixOfMessages(JsonObject json) throws CranberrygaugeException {
        JsonArray messages = json.getJsonArray("messages");
        if (messages == null || messages.isEmpty()) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field messages is missing or empty");
        }
        for (int index = 0; index < messages.size(); index++) {
            if (!(messages.getValue(index) instanceof JsonObject message)
                    || !(message.getValue("role") instanceof String)) {
                throw new CranberrygaugeException(
                        ErrorCode.INVALID_REQUEST, "messages[" + index + "] is no object with a role");
            }
        }
        return String.valueOf(messages.getJsonObject(0).getValue("content"));
    }

    /**
     * Finds the prompt of a plain completion.
     *
     * @param json The body.
     * @return The prompt.
     * @throws CranberrygaugeException If there is none.
     */
    private static String prefixOfPrompt(JsonObject json) throws CranberrygaugeException {
        if (!(json.getValue("prompt") instanceof String prompt)) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field prompt is missing or no text");
        }
        return prompt;
    }

    /**
     * Replaces a missing value.
     *
     * @param value The value, or null.
     * @param replacement The replacement, or null.
     * @param <T> The type.
     * @return The value if there is one, else the replacement.
     */
    private static <T> T orElse(T value, T replacement) {
        return value == null ? replacement : value;
    }
}
