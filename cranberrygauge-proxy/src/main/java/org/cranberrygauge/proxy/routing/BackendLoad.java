package org.cranberrygauge.proxy.routing;

import java.util.List;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * The load that this host's own requests cause at one incarnation of a backend server, and its recent failures. Not
 * thread-safe; {@link #work()} returns an immutable value.
 */
public final class BackendLoad {

    /** The fraction of an engine's KV cache in which cached prompt parts are expected to stay. */
    private static final double CACHE_FRACTION = 0.6;

    /** The capacity assumed for a backend server whose KV-cache size is unknown. */
    private static final long DEFAULT_CACHE_TOKENS = 500_000;

    /** The cool-down after a first failure; it doubles with each consecutive failure. */
    private static final long INITIAL_COOLDOWN_MILLIS = 300;

    /** The cool-down after a first failure to connect. */
    private static final long UNREACHABLE_COOLDOWN_MILLIS = 1_500;

    private static final long MAXIMUM_COOLDOWN_MILLIS = 3_000;

    /** The number of times that the cool-down doubles at most. */
    private static final int MAXIMUM_DOUBLINGS = 4;

    /** The weight of a new result in the moving average of failures. */
    private static final double FAILURE_SHARE_SMOOTHING = 0.15;

    private int running;

    /** The uncached prompt tokens of requests without a first event so far. */
    private long unreadTokens;

    /** The KV-cache tokens that requests in flight occupy. */
    private long heldTokens;

    /** The requests in flight with short prompts. */
    private int shortRunning;

    private final CachedParts cached;

    private int consecutiveFailures;

    /** The moving average of failed requests, from 0 to 1. */
    private double failureShare;

    private long cooldownUntilMillis;

    /**
     * Creates the load of an idle backend server.
     *
     * @param memoryTokens The capacity of its KV cache in tokens; 0 if unknown.
     */
    BackendLoad(long memoryTokens) {
        long memory = memoryTokens == 0 ? DEFAULT_CACHE_TOKENS : memoryTokens;
        cached = new CachedParts((long) (memory * CACHE_FRACTION));
    }

    /**
     * Adds a request that is about to be sent. The caller ends the returned placement when the request ends.
     *
     * @param peers The load caused by the other hosts at this backend server.
     */
    public Placement place(Prompt prompt, Work peers) {
        long unread = uncachedTokens(prompt);
        long ahead = unreadTokens + peers.unreadTokens();
        long held = unread + prompt.outputTokens();
        int outstanding = running + peers.running() + 1;
        running++;
        unreadTokens += unread;
        heldTokens += held;
        boolean isShort = EnginePartition.isShort(prompt);
        shortRunning += isShort ? 1 : 0;
        cached.add(prompt.parts());
        return new Placement(this, outstanding, unread, ahead + unread, held, isShort);
    }

    /** Returns the tokens of a prompt that the engine would have to process. */
    public long uncachedTokens(Prompt prompt) {
        return Math.max(0, prompt.inputTokens() - cached.cachedTokens(prompt.parts()));
    }

    /** Records that another host has sent a prompt part to this backend server. */
    void addCachedPart(PromptPart part) {
        cached.add(List.of(part));
    }

    /** Returns the tokens of a prompt's shared parts that the engine would have to process. */
    public long uncachedSharedTokens(Prompt prompt) {
        List<PromptPart> shared = prompt.sharedParts();
        long tokens = shared.stream().mapToLong(PromptPart::tokens).sum();
        return tokens - cached.cachedTokens(shared);
    }

    public Work work() {
        return new Work(running, unreadTokens, heldTokens, shortRunning);
    }

    public void recordSuccess() {
        consecutiveFailures = 0;
        failureShare *= 1 - FAILURE_SHARE_SMOOTHING;
    }

    /**
     * Records a failure of the backend server itself and starts or extends its cool-down.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param connected Whether a connection was established.
     */
    public void recordFailure(long nowMillis, boolean connected) {
        consecutiveFailures++;
        failureShare += FAILURE_SHARE_SMOOTHING * (1 - failureShare);
        long initial = connected ? INITIAL_COOLDOWN_MILLIS : UNREACHABLE_COOLDOWN_MILLIS;
        long cooldown = initial << Math.min(MAXIMUM_DOUBLINGS, consecutiveFailures - 1);
        cooldownUntilMillis = nowMillis + Math.min(MAXIMUM_COOLDOWN_MILLIS, cooldown);
    }

    /**
     * Tells whether the backend server should be skipped while others can serve the request.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public boolean isCoolingDown(long nowMillis) {
        return nowMillis < cooldownUntilMillis;
    }

    /** Returns the moving average of failed requests, from 0 to 1. */
    public double failureShare() {
        return failureShare;
    }

    /**
     * The share of one request in flight in the load of a backend server. Each component is released exactly once. Not
     * thread-safe.
     */
    public static final class Placement {

        private final BackendLoad load;

        private final int outstanding;

        private long unread;

        private final long tokensToFirstEvent;

        private final long held;

        private final boolean isShort;

        private boolean ended;

        private Placement(
                BackendLoad load, int outstanding, long unread, long tokensToFirstEvent, long held, boolean isShort) {
            this.load = load;
            this.outstanding = outstanding;
            this.unread = unread;
            this.tokensToFirstEvent = tokensToFirstEvent;
            this.held = held;
            this.isShort = isShort;
        }

        /** Returns the requests of all hosts at the server when the request was placed, including it. */
        public int outstanding() {
            return outstanding;
        }

        /** Returns the uncached prompt tokens of the request and of those that were sent to the engine before it. */
        public long tokensToFirstEvent() {
            return tokensToFirstEvent;
        }

        /** Returns the KV-cache tokens that the request occupies. */
        long heldTokens() {
            return held;
        }

        /** Releases the prefill work once the first event has arrived. Idempotent. */
        public void started() {
            load.unreadTokens -= unread;
            unread = 0;
        }

        /** Releases the rest at the end of the request. Idempotent. */
        public void end() {
            if (ended) {
                return;
            }
            ended = true;
            started();
            load.running--;
            load.heldTokens -= held;
            load.shortRunning -= isShort ? 1 : 0;
        }
    }
}
