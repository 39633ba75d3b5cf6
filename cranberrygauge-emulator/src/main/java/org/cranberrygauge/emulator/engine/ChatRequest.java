package org.cranberrygauge.emulator.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * The parts of a chat completion that the stand-in reads.
 *
 * @param model The model.
 * @param messages The messages.
 * @param prompt The prompt of a plain completion, or null.
 * @param stream Whether to stream.
 * @param maxTokens The highest number of output tokens, or null.
 * @param resumeFrom The number of output tokens that were delivered before, or null.
 * @param metadata Additional fields; output_tokens sets the length of the answer, tool_call names a tool to call.
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

    /** The metadata field that names a tool to call. */
    private static final String TOOL_CALL = "tool_call";

    /** The length of an answer that nothing limits, in tokens. */
    private static final int DEFAULT_OUTPUT_TOKENS = 32;

    /** The metadata field that sets the length of the answer. */
    private static final String OUTPUT_TOKENS = "output_tokens";

    /**
     * Returns the text of the prompt.
     *
     * @return The text.
     */
    public String promptText() {
        if (messages == null) {
            return String.valueOf(prompt);
        }
        StringBuilder text = new StringBuilder();
        messages.forEach(message -> text.append(message.text()).append('\n'));
        return text.toString();
    }

    /**
     * Returns the text by which cached prefixes are recognised.
     *
     * @return The content of the first message, or the prompt.
     */
    public String prefixText() {
        return messages == null || messages.isEmpty()
                ? String.valueOf(prompt)
                : messages.get(0).text();
    }

    /**
     * Returns the length of the answer.
     *
     * @return The number of tokens.
     */
    public int outputTokens() {
        return maxTokens == null ? wantedTokens() : Math.min(wantedTokens(), maxTokens);
    }

    /**
     * Returns the length of the answer without a limit.
     *
     * @return The number of tokens.
     */
    private int wantedTokens() {
        String wanted = metadata == null ? null : metadata.get(OUTPUT_TOKENS);
        return wanted == null ? DEFAULT_OUTPUT_TOKENS : Integer.parseInt(wanted);
    }

    /**
     * Returns the tool to call.
     *
     * @return The name of the tool, or null for an answer in text.
     */
    public String toolCall() {
        return metadata == null ? null : metadata.get(TOOL_CALL);
    }

    /**
     * Tells whether to stream.
     *
     * @return Whether to.
     */
    public boolean isStream() {
        return Boolean.TRUE.equals(stream);
    }

    /**
     * Tells whether the highest number of output tokens cuts the answer.
     *
     * @return Whether it does.
     */
    public boolean isCut() {
        return maxTokens != null && maxTokens < wantedTokens();
    }

    /**
     * A message.
     *
     * @param role The role.
     * @param content The content: a text, a list of parts, or null.
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Message(String role, JsonNode content) {

        /**
         * Returns the text of the content.
         *
         * @return The text, that of all parts one after another.
         */
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
