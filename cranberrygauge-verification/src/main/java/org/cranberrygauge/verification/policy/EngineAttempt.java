package org.cranberrygauge.verification.policy;

/**
 * One attempt of a request at an engine in memory.
 *
 * <p>Invariants: tells its gateway of one end at most. Used by one thread.
 */
final class EngineAttempt {

    /** The request. */
    private final ReplayedRequest request;

    /** The engine. */
    private final SimulatedEngine engine;

    /** The gateway. */
    private final ReplayGateway gateway;

    /** The number of the request in its gateway. */
    private final long requestId;

    /** The position among all attempts. */
    private final long number;

    /** The tokens that were delivered before. */
    private final int deliveredBefore;

    /** The time at which the gateway started it in milliseconds. */
    private long startedAtMillis;

    /** Whether it started because its class was owed a start. */
    private boolean owed;

    /** The time of the first token in milliseconds. */
    private double firstTokenAtMillis;

    /** The time of the last token in milliseconds. */
    private double lastTokenAtMillis;

    /** Whether it ended. */
    private boolean closed;

    /**
     * Creates an attempt.
     *
     * @param gateway The gateway.
     * @param engine The engine.
     * @param request The request.
     * @param requestId The number of the request in its gateway.
     * @param number The position among all attempts.
     */
    EngineAttempt(ReplayGateway gateway, SimulatedEngine engine, ReplayedRequest request, long requestId, long number) {
        this.gateway = gateway;
        this.engine = engine;
        this.request = request;
        this.requestId = requestId;
        this.number = number;
        this.deliveredBefore = request.delivered;
    }

    /**
     * Notes its start.
     *
     * @param nowMillis The time at which the gateway started it in milliseconds.
     * @param wasOwed Whether it started because its class was owed a start.
     */
    void startedAt(long nowMillis, boolean wasOwed) {
        startedAtMillis = nowMillis;
        owed = wasOwed;
    }

    /**
     * Returns the time at which the gateway started it.
     *
     * @return The time in milliseconds.
     */
    long startedAtMillis() {
        return startedAtMillis;
    }

    /**
     * Tells whether it started because its class was owed a start.
     *
     * @return Whether it did.
     */
    boolean isOwed() {
        return owed;
    }

    /**
     * Returns the request.
     *
     * @return The request.
     */
    ReplayedRequest request() {
        return request;
    }

    /**
     * Returns the engine.
     *
     * @return The engine.
     */
    SimulatedEngine engine() {
        return engine;
    }

    /**
     * Returns the number of the request in its gateway.
     *
     * @return The number.
     */
    long requestId() {
        return requestId;
    }

    /**
     * Returns the position among all attempts.
     *
     * @return The position.
     */
    long number() {
        return number;
    }

    /**
     * Returns the tier.
     *
     * @return The tier.
     */
    int tier() {
        return request.serviceClass.tier();
    }

    /**
     * Tells whether it is a chat.
     *
     * @return Whether it is.
     */
    boolean isChat() {
        return request.isChat();
    }

    /**
     * Returns the prompt.
     *
     * @return The number of tokens.
     */
    int promptTokens() {
        return request.trace.promptTokens();
    }

    /**
     * Returns the group that shares the first half of the prompt.
     *
     * @return The group.
     */
    String prefixGroup() {
        return request.trace.prefixGroup();
    }

    /**
     * Returns the tokens that were delivered before.
     *
     * @return The number.
     */
    int deliveredBefore() {
        return deliveredBefore;
    }

    /**
     * Tells whether it ended.
     *
     * @return Whether it did.
     */
    boolean isClosed() {
        return closed;
    }

    /** Ends it without telling the gateway. */
    void close() {
        closed = true;
    }

    /**
     * Delivers tokens.
     *
     * @param tokens The number of tokens.
     * @return The number that is left.
     */
    int generated(int tokens) {
        double nowMillis = gateway.exactMillis();
        if (firstTokenAtMillis == 0) {
            firstTokenAtMillis = nowMillis;
        }
        lastTokenAtMillis = nowMillis;
        gateway.delivered(request, tokens);
        return request.trace.outputTokens() - request.delivered;
    }

    /**
     * Returns the measured time between tokens.
     *
     * @return The time in milliseconds; 0 if there were too few.
     */
    double intervalMillis() {
        int tokens = request.delivered - deliveredBefore;
        return !isChat() || tokens < 4 ? 0 : (lastTokenAtMillis - firstTokenAtMillis) / (tokens - 1);
    }

    /** Ends it with the whole answer. */
    void finish() {
        if (!closed) {
            closed = true;
            gateway.finished(this);
        }
    }

    /** Ends it with a failure. */
    void fail() {
        if (!closed) {
            closed = true;
            gateway.failed(this);
        }
    }
}
