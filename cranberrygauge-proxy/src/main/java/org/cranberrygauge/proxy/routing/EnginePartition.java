package org.cranberrygauge.proxy.routing;

import java.util.List;
import org.cranberrygauge.decision.topology.RendezvousHash;
import org.cranberrygauge.proxy.backend.Backend;

/**
 * Splits the engines of a pool into those for short prompts and those for long ones.
 *
 * <p>Reading a long prompt delays the tokens of all requests that run beside it, so that chats are kept away from it. All
 * hosts split alike without talking, and an engine that comes or goes moves few others. Immutable and safe for use by several
 * threads.
 *
 * @param shortPrompts The engines for short prompts; all if there are too few to split.
 * @param longPrompts The engines for long prompts; all if there are too few to split.
 */
public record EnginePartition(List<Backend> shortPrompts, List<Backend> longPrompts) {

    /** The longest prompt that counts as short, in tokens; an engine reads that much in one step. */
    private static final long SHORT_PROMPT_TOKENS = 4_096;

    /** The number of engines from which they are split. */
    private static final int SPLIT_FROM = 3;

    /** The part of the engines that is for short prompts. */
    private static final double SHORT_PART = 0.15;

    /** The key by which engines are ranked. */
    private static final String KEY = "short prompts";

    /** Copies the lists. */
    public EnginePartition {
        shortPrompts = List.copyOf(shortPrompts);
        longPrompts = List.copyOf(longPrompts);
    }

    /**
     * Splits engines.
     *
     * @param ready The engines that take new work.
     * @return The lanes.
     */
    public static EnginePartition split(List<Backend> ready) {
        if (ready.size() < SPLIT_FROM) {
            return new EnginePartition(ready, ready);
        }
        int number = (int) Math.ceil(ready.size() * SHORT_PART);
        List<Backend> ranked = RendezvousHash.ranked(KEY, ready, Backend::incarnation);
        return new EnginePartition(ranked.subList(0, number), ranked.subList(number, ranked.size()));
    }

    /**
     * Tells whether a prompt is short.
     *
     * @param prompt The prompt.
     * @return Whether it is short.
     */
    public static boolean isShort(Prompt prompt) {
        return prompt.inputTokens() <= SHORT_PROMPT_TOKENS;
    }

    /**
     * Returns the engines that are meant for a prompt.
     *
     * @param prompt The prompt.
     * @return The engines.
     */
    public List<Backend> of(Prompt prompt) {
        return isShort(prompt) ? shortPrompts : longPrompts;
    }
}
