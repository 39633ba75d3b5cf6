package org.cranberrygauge.emulator.replay;

/**
 * A chat or call that is sent at a given time of a replay.
 *
 * @param arrivalMillis The time of arrival since the start of the trace in milliseconds.
 * @param model The model of a chat, or an empty string.
 * @param promptTokens The number of prompt tokens of a chat.
 * @param outputTokens The number of output tokens of a chat.
 * @param prefixGroup The group of requests that share the first half of the prompt, or an empty string.
 * @param method The HTTP method of a call, or an empty string.
 * @param path The path of a call, or an empty string.
 * @param callId The identifier of the request; also its idempotency key unless the method is GET.
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

    /** Kinds of requests. */
    public enum Kind {
        /** A streamed chat completion. */
        CHAT,
        /** A call to a service other than a model engine. */
        CALL
    }

    /** Returns whether the call has a side effect, so that it must run at most once. */
    public boolean mutates() {
        return kind == Kind.CALL && !"GET".equals(method);
    }

    /** Builds the prompt, with as many words in both messages as the prompt has tokens. */
    public Prompt prompt() {
        int shared = prefixGroup.isEmpty() ? 1 : Math.max(1, promptTokens / 2);
        String first = (prefixGroup.isEmpty() ? callId : prefixGroup) + " w".repeat(shared - 1);
        String rest = callId + " w".repeat(Math.max(0, promptTokens - shared - 1));
        return new Prompt(first, rest);
    }

    /**
     * A prompt in two messages.
     *
     * @param first The part that the prefix group shares.
     * @param rest The part that is specific to the request.
     */
    public record Prompt(String first, String rest) {}
}
