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
 * The parsed body of a completion request.
 *
 * @param path The request path, which tells chats from plain completions.
 * @param json The whole body.
 * @param model The requested model.
 * @param stream Whether the caller asked for an event stream.
 * @param promptTokens The estimated number of prompt tokens.
 * @param maxTokens The largest number of output tokens, or an estimate if the caller set no limit.
 * @param prefixDigest The digest of the first message or prompt, by which requests with a shared prefix are recognised.
 */
public record ChatBody(
        String path,
        JsonObject json,
        String model,
        boolean stream,
        int promptTokens,
        int maxTokens,
        String prefixDigest) {

    /** The request path of chat completions. */
    public static final String CHAT_PATH = "/v1/chat/completions";

    private static final String STREAM = "stream";

    private static final String STREAM_OPTIONS = "stream_options";

    private static final String INCLUDE_USAGE = "include_usage";

    /** The fields that affect how the answer is delivered but not what is computed. */
    private static final Set<String> DELIVERY_FIELDS = Set.of(STREAM, STREAM_OPTIONS);

    /** The estimated number of output tokens if the caller sets no limit. */
    private static final int DEFAULT_OUTPUT_TOKENS = 256;

    /** The estimated number of characters per token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Parses a body.
     *
     * @throws CranberrygaugeException If the body is not a valid completion request.
     */
    public static ChatBody read(String path, Buffer body) throws CranberrygaugeException {
        try {
            JsonObject json = new JsonObject(body);
            if (!(json.getValue("model") instanceof String model)) {
                throw new CranberrygaugeException(
                        ErrorCode.INVALID_REQUEST, "the field model is missing or not a string");
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
                    outputLimit(json),
                    KeyDigest.digest(prefix.getBytes(StandardCharsets.UTF_8)));
        } catch (DecodeException | ClassCastException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, "the body is not a valid completion request", exception);
        }
    }

    /** Returns whether this is a chat completion rather than a plain completion. */
    public boolean isChat() {
        return path.equals(CHAT_PATH);
    }

    /** Returns whether the caller asked for a usage event at the end of the stream. */
    public boolean wantsUsage() {
        return json.getValue(STREAM_OPTIONS) instanceof JsonObject options
                && Boolean.TRUE.equals(options.getValue(INCLUDE_USAGE));
    }

    /** Returns the computation that is requested as canonical JSON, without the fields that only affect delivery. */
    public String canonical() {
        return CanonicalJson.write(json, DELIVERY_FIELDS);
    }

    /**
     * Builds the body for a backend server, which is always asked to stream.
     *
     * @param delivered The number of output tokens already delivered by earlier attempts, after which the backend
     *     server resumes.
     */
    public Buffer forBackend(int delivered) {
        JsonObject copy = json.copy().put(STREAM, true);
        copy.put(STREAM_OPTIONS, new JsonObject().put(INCLUDE_USAGE, true));
        if (delivered > 0) {
            copy.put("resume_from", delivered);
        }
        return copy.toBuffer();
    }

    /** Returns the properties of this request by which it is routed. */
    public RoutingRequest routing() {
        return new RoutingRequest(model, prefixDigest, promptTokens);
    }

    /** Returns the limit on output tokens, or the default estimate if there is none. */
    private static int outputLimit(JsonObject json) throws CranberrygaugeException {
        Integer limit = orElse(json.getInteger("max_completion_tokens"), json.getInteger("max_tokens"));
        if (limit != null && limit <= 0) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field max_tokens must be positive");
        }
        return orElse(limit, DEFAULT_OUTPUT_TOKENS);
    }

    private static String prefixOfMessages(JsonObject json) throws CranberrygaugeException {
        JsonArray messages = json.getJsonArray("messages");
        if (messages == null || messages.isEmpty()) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field messages is missing or empty");
        }
        for (int index = 0; index < messages.size(); index++) {
            if (!(messages.getValue(index) instanceof JsonObject message)
                    || !(message.getValue("role") instanceof String)) {
                throw new CranberrygaugeException(
                        ErrorCode.INVALID_REQUEST, "messages[" + index + "] is not an object with a role");
            }
        }
        return String.valueOf(messages.getJsonObject(0).getValue("content"));
    }

    private static String prefixOfPrompt(JsonObject json) throws CranberrygaugeException {
        if (!(json.getValue("prompt") instanceof String prompt)) {
            throw new CranberrygaugeException(ErrorCode.INVALID_REQUEST, "the field prompt is missing or not a string");
        }
        return prompt;
    }

    private static <T> T orElse(T value, T replacement) {
        return value == null ? replacement : value;
    }
}
