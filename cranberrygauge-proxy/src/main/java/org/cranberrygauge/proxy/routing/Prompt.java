package org.cranberrygauge.proxy.routing;

import java.util.List;

/**
 * What a caller says of a request's prompt.
 *
 * @param inputTokens The length of the prompt in tokens.
 * @param outputTokens The expected length of the output in tokens.
 * @param parts The parts of the prompt in order; the last belongs to this request or its session.
 */
public record Prompt(long inputTokens, long outputTokens, List<PromptPart> parts) {

    /** A request without a prompt. */
    public static final Prompt NONE = new Prompt(0, 0, List.of());

    /** Copies the list. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the parts that other requests may share.
     *
     * @return The parts but for the last.
     */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /**
     * Returns the part by which requests that share a long start are kept together.
     *
     * @return The identifier of the last part that other requests share, or an empty text if there is none.
     */
    public String affinityKey() {
        if (parts.isEmpty()) {
            return "";
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
