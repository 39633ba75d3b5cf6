package org.cranberrygauge.verification.policy;

/**
 * One attempt of a request on a {@link SimulatedEngine}.
 *
 * <p>Invariants: its gateway is notified of at most one end. Not thread-safe.
 */
final class EngineAttempt {

    private final ReplayedRequest request;

    private final SimulatedEngine engine;

    private final ReplayGateway gateway;

    private final long requestId;

    /** The position among all attempts of the simulation. */
    private final long number;

    /** The output tokens that earlier attempts of the request delivered. */
    private final int deliveredBefore;

    private long startedAtMillis;

    /** Whether it started before higher tiers because its class was guaranteed a start. */
    private boolean guaranteed;

    private double firstTokenAtMillis;

    private double lastTokenAtMillis;

    private boolean closed;

    EngineAttempt(ReplayGateway gateway, SimulatedEngine engine, ReplayedRequest request, long requestId, long number) {
        this.gateway = gateway;
        this.engine = engine;
        this.request = request;
        this.requestId = requestId;
        this.number = number;
        this.deliveredBefore = request.delivered;
    }

    void markStarted(long nowMillis, boolean wasGuaranteed) {
        startedAtMillis = nowMillis;
        guaranteed = wasGuaranteed;
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    boolean isGuaranteed() {
        return guaranteed;
    }

    ReplayedRequest request() {
        return request;
    }

    SimulatedEngine engine() {
        return engine;
    }

    long requestId() {
        return requestId;
    }

    long number() {
        return number;
    }

    int tier() {
        return request.serviceClass.tier();
    }

    boolean isChat() {
        return request.isChat();
    }

    int promptTokens() {
        return request.trace.promptTokens();
    }

    /** Returns the group of requests that share the first half of the prompt; empty if there is none. */
    String prefixGroup() {
        return request.trace.prefixGroup();
    }

    int deliveredBefore() {
        return deliveredBefore;
    }

    boolean isClosed() {
        return closed;
    }

    /** Closes the attempt without notifying the gateway. */
    void close() {
        closed = true;
    }

    /** Delivers tokens to the gateway and returns the number of output tokens still to generate. */
    int deliver(int tokens) {
        double nowMillis = gateway.exactMillis();
        if (firstTokenAtMillis == 0) {
            firstTokenAtMillis = nowMillis;
        }
        lastTokenAtMillis = nowMillis;
        gateway.recordDelivery(request, tokens);
        return request.trace.outputTokens() - request.delivered;
    }

    /**
     * Returns the mean time between tokens in milliseconds; 0 if fewer than four tokens were delivered or it isn't a
     * chat.
     */
    double intervalMillis() {
        int tokens = request.delivered - deliveredBefore;
        return !isChat() || tokens < 4 ? 0 : (lastTokenAtMillis - firstTokenAtMillis) / (tokens - 1);
    }

    /** Completes the attempt with the complete answer. */
    void finish() {
        if (!closed) {
            closed = true;
            gateway.finished(this);
        }
    }

    void fail() {
        if (!closed) {
            closed = true;
            gateway.failed(this);
        }
    }
}
