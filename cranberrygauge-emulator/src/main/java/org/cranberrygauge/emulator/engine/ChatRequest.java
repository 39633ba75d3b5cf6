package org.cranberrygauge.emulator.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * The parts of a completion request that the emulated engine reads.
 *
 * @param messages The messages of a chat completion, or null.
 * @param prompt The prompt of a plain completion, or null.
 * @param stream Whether to stream the answer; null stands for false.
 * @param maxTokens The maximum number of output tokens, or null.
 * @param resumeFrom The number of output tokens that were delivered before, or null.
 * @param metadata Additional fields: output_tokens sets the length of the answer, tool_call names a tool to call.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ChatRequest(
        String model,
        List<Message> messages,
        String prompt,
        Boolean stream,
        @JsonProperty("max_tokens") Integer maxTokens,
        @JsonProperty("resume_from") Integer resumeFrom,
        Map<String, String> metadata) {

    private static final String TOOL_CALL = "tool_call";

    /** Length of an answer for which the request states none. */
    private static final int DEFAULT_OUTPUT_TOKENS = 32;

    private static final String OUTPUT_TOKENS = "output_tokens";

    /** Returns the text of all messages, or of the plain prompt. */
    public String promptText() {
        if (messages == null) {
            return String.valueOf(prompt);
        }
        StringBuilder text = new StringBuilder();
        messages.forEach(message -> text.append(message.text()).append('\n'));
        return text.toString();
    }

    /** Returns the text by which a cached prefix is recognised: the first message, or the plain prompt. */
    public String prefixText() {
        return messages == null || messages.isEmpty()
                ? String.valueOf(prompt)
                : messages.get(0).text();
    }

    /** Returns the length of the answer in tokens. */
    public int outputTokens() {
        return maxTokens == null ? requestedOutputTokens() : Math.min(requestedOutputTokens(), maxTokens);
    }

    /** Returns the length of the answer before the limit is applied. */
    private int requestedOutputTokens() {
        String requested = metadata == null ? null : metadata.get(OUTPUT_TOKENS);
        return requested == null ? DEFAULT_OUTPUT_TOKENS : Integer.parseInt(requested);
    }

    /** Returns the name of the tool to call, or null for an answer in text. */
    public String toolCall() {
        return metadata == null ? null : metadata.get(TOOL_CALL);
    }

    public boolean isStream() {
        return Boolean.TRUE.equals(stream);
    }

    /** Returns whether the answer is cut off by the maximum number of output tokens. */
    public boolean isCut() {
        return maxTokens != null && maxTokens < requestedOutputTokens();
    }

    /**
     * A message of a chat.
     *
     * @param content The content: a text, a list of parts, or null.
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Message(String role, JsonNode content) {

        /** Returns the text of the content, with the parts of a list joined. */
        String text() {
            if (content == null || content.isNull()) {
                return "";
            }
            if (!content.isArray()) {
                return content.asText();
            }
            StringBuilder text = new StringBuilder();
            content.forEach(part -> text.append(part.path("text").asText()));
            return text.toString();
        }
    }
}
