package org.cranberrygauge.emulator.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
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
 * @param metadata Additional fields; output_tokens sets the length of the answer.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ChatRequest(
        String model,
        List<Message> messages,
        String prompt,
        boolean stream,
        @JsonProperty("max_tokens") Integer maxTokens,
        @JsonProperty("resume_from") Integer resumeFrom,
        Map<String, String> metadata) {

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
        messages.forEach(message -> text.append(message.content()).append('\n'));
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
                : messages.get(0).content();
    }

    /**
     * Returns the length of the answer.
     *
     * @return The number of tokens.
     */
    public int outputTokens() {
        int wanted = metadata == null || !metadata.containsKey(OUTPUT_TOKENS)
                ? DEFAULT_OUTPUT_TOKENS
                : Integer.parseInt(metadata.get(OUTPUT_TOKENS));
        return maxTokens == null ? wanted : Math.min(wanted, maxTokens);
    }

    /**
     * A message.
     *
     * @param role The role.
     * @param content The content.
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Message(String role, String content) {}
}
