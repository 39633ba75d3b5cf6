package org.cranberrygauge.emulator.replay;

/**
 * One line of a trace.
 *
 * @param arrivalMillis The time of arrival since the start of the trace in milliseconds.
 * @param kind Whether it is a chat or a call to a plain service.
 * @param customer The name of the customer.
 * @param className The name of the class.
 * @param model The model of a chat, or an empty string.
 * @param promptTokens The number of prompt tokens of a chat.
 * @param outputTokens The number of output tokens of a chat.
 * @param prefixGroup The group that shares the first half of the prompt, or an empty string.
 * @param method The HTTP method of a call, or an empty string.
 * @param path The path of a call, or an empty string.
 * @param callId The identifier of a call, also its idempotency key where the method is not GET.
 */
public record TraceRequest(
        long arrivalMillis,
        Kind kind,
        String customer,
        String className,
        String model,
        int promptTokens,
        int outputTokens,
        String prefixGroup,
        String method,
        String path,
        String callId) {

    /** The kinds of requests. */
    public enum Kind {
        /** A streamed chat completion. */
        CHAT,
        /** A call to a plain service. */
        CALL
    }

    /**
     * Tells whether the call changes something at the service.
     *
     * @return Whether it must run at most once.
     */
    public boolean mutates() {
        return kind == Kind.CALL && !"GET".equals(method);
    }

    /**
     * Builds the prompt.
     *
     * @return The first message and the rest, with as many words as the prompt has tokens.
     */
    public Prompt prompt() {
        int shared = prefixGroup.isEmpty() ? 1 : Math.max(1, promptTokens / 2);
        String first = (prefixGroup.isEmpty() ? callId : prefixGroup) + " w".repeat(shared - 1);
        String rest = callId + " w".repeat(Math.max(0, promptTokens - shared - 1));
        return new Prompt(first, rest);
    }

    /**
     * A prompt in two messages.
     *
     * @param first The part that a prefix group shares.
     * @param rest The part of this request alone.
     */
    public record Prompt(String first, String rest) {}
}
