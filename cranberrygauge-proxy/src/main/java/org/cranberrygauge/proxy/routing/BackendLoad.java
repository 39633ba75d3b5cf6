package org.cranberrygauge.proxy.routing;

import java.util.List;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * What this host knows of one start of a backend server from its own requests.
 *
 * <p>Used by one thread; the work is published as an immutable value.
 */
public final class BackendLoad {

    /** The part of an engine's memory in which cached parts are expected to stay. */
    private static final double CACHE_PART = 0.6;

    /** The tokens remembered for a backend server whose memory isn't known. */
    private static final long UNKNOWN_MEMORY_TOKENS = 500_000;

    /** The time for which a backend server is avoided after a first failure, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 300;

    /** The time for which a backend server is avoided that could not be reached, in milliseconds. */
    private static final long UNREACHABLE_PAUSE_MILLIS = 1_500;

    /** The longest time for which a backend server is avoided, in milliseconds. */
    private static final long LONGEST_PAUSE_MILLIS = 3_000;

    /** The weight of a new result in the share of failures. */
    private static final double NEW_RESULT_WEIGHT = 0.15;

    /** The requests in flight. */
    private int running;

    /** The uncached prompt tokens of requests that wait for their first event. */
    private long unreadTokens;

    /** The tokens that requests in flight add to memory. */
    private long heldTokens;

    /** The requests in flight with short prompts. */
    private int shortRunning;

    /** The cached prompt parts. */
    private final CachedParts cached;

    /** The failures in a row. */
    private int failuresInRow;

    /** The recent share of requests that failed, from 0 to 1. */
    private double failureShare;

    /** The monotonic time until which the backend server is avoided. */
    private long avoidUntilMillis;

    /**
     * Creates the load of an idle backend server.
     *
     * @param memoryTokens The tokens that its memory holds; 0 if not known.
     */
    BackendLoad(long memoryTokens) {
        long memory = memoryTokens == 0 ? UNKNOWN_MEMORY_TOKENS : memoryTokens;
        cached = new CachedParts((long) (memory * CACHE_PART));
    }

    /**
     * Takes a request that is sent.
     *
     * @param prompt The prompt.
     * @return What the request adds, to be given back.
     */
    public Placement place(Prompt prompt) {
        long unread = uncachedTokens(prompt);
        long held = unread + prompt.outputTokens();
        running++;
        unreadTokens += unread;
        heldTokens += held;
        boolean isShort = EnginePartition.isShort(prompt);
        shortRunning += isShort ? 1 : 0;
        cached.note(prompt.parts());
        return new Placement(this, unread, held, isShort);
    }

    /**
     * Returns the tokens of a prompt that would have to be read.
     *
     * @param prompt The prompt.
     * @return The tokens.
     */
    public long uncachedTokens(Prompt prompt) {
        return Math.max(0, prompt.inputTokens() - cached.cachedTokens(prompt.parts()));
    }

    /**
     * Notes a prompt part that another host has sent here.
     *
     * @param part The part.
     */
    void notePart(PromptPart part) {
        cached.note(List.of(part));
    }

    /**
     * Returns the tokens of a prompt's shared parts that would have to be read.
     *
     * @param prompt The prompt.
     * @return The tokens.
     */
    public long uncachedSharedTokens(Prompt prompt) {
        List<PromptPart> shared = prompt.sharedParts();
        long tokens = shared.stream().mapToLong(PromptPart::tokens).sum();
        return tokens - cached.cachedTokens(shared);
    }

    /**
     * Returns the work of this host.
     *
     * @return The work.
     */
    public Work work() {
        return new Work(running, unreadTokens, heldTokens, shortRunning);
    }

    /** Notes an answer that is no failure. */
    public void noteSuccess() {
        failuresInRow = 0;
        failureShare *= 1 - NEW_RESULT_WEIGHT;
    }

    /**
     * Notes a failure of the backend server itself.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param reached Whether a connection to it came about.
     */
    public void noteFailure(long nowMillis, boolean reached) {
        failuresInRow++;
        failureShare += NEW_RESULT_WEIGHT * (1 - failureShare);
        long first = reached ? FIRST_PAUSE_MILLIS : UNREACHABLE_PAUSE_MILLIS;
        long pause = first << Math.min(4, failuresInRow - 1);
        avoidUntilMillis = nowMillis + Math.min(LONGEST_PAUSE_MILLIS, pause);
    }

    /**
     * Tells whether the backend server is avoided while others can take the request.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return Whether it is avoided.
     */
    public boolean avoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /**
     * Returns the recent share of requests that failed.
     *
     * @return The share from 0 to 1.
     */
    public double failureShare() {
        return failureShare;
    }

    /**
     * What a request in flight adds to a backend server's load; each part is given back once.
     *
     * <p>Used by one thread.
     */
    public static final class Placement {

        /** The load. */
        private final BackendLoad load;

        /** The tokens still to be read. */
        private long unread;

        /** The tokens held. */
        private final long held;

        /** Whether the prompt is short. */
        private final boolean isShort;

        /** Whether the request has ended. */
        private boolean ended;

        /**
         * Creates a placement.
         *
         * @param load The load.
         * @param unread The tokens still to be read.
         * @param held The tokens held.
         * @param isShort Whether the prompt is short.
         */
        private Placement(BackendLoad load, long unread, long held, boolean isShort) {
            this.load = load;
            this.unread = unread;
            this.held = held;
            this.isShort = isShort;
        }

        /** Notes the first event, after which the prompt is read. */
        public void started() {
            load.unreadTokens -= unread;
            unread = 0;
        }

        /** Notes the end of the request. */
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
