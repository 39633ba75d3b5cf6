package org.cranberrygauge.proxy.routing;

import java.util.List;
import org.cranberrygauge.decision.engine.EngineProfile;
import org.cranberrygauge.decision.topology.RendezvousHash;
import org.cranberrygauge.proxy.backend.Backend;

/**
 * Partitions the engines of a pool into those for short prompts and those for long ones.
 *
 * <p>The prefill of a long prompt delays the tokens of all requests on the same engine, so that interactive chats are
 * kept away from it. All hosts rank the engines alike without coordination: their partitions differ only as far as the
 * traffic that they see does, and an engine that is added or removed moves few others. Immutable.
 *
 * @param shortPrompts The engines for short prompts; all engines if there are too few to partition.
 * @param longPrompts The engines for long prompts; all engines if there are too few to partition.
 */
public record EnginePartition(List<Backend> shortPrompts, List<Backend> longPrompts) {

    /** The number of engines from which a pool is partitioned. */
    private static final int MINIMUM_ENGINES = 3;

    /** The rendezvous-hashing key by which engines are ranked; it must be the same on all hosts. */
    private static final String RANKING_KEY = "short prompts";

    public EnginePartition {
        shortPrompts = List.copyOf(shortPrompts);
        longPrompts = List.copyOf(longPrompts);
    }

    /**
     * Partitions the engines that accept new requests, with at least one engine on each side.
     *
     * @param shortFraction The fraction of the engines that is reserved for short prompts, from 0 to 1.
     */
    public static EnginePartition split(List<Backend> ready, double shortFraction) {
        return splitRanked(ranked(ready), shortCount(ready.size(), shortFraction));
    }

    /** Returns the engines in the order in which they are reserved for short prompts. */
    static List<Backend> ranked(List<Backend> ready) {
        return RendezvousHash.ranked(RANKING_KEY, ready, Backend::incarnation);
    }

    /** Returns the number of engines that are reserved for short prompts; 0 if there are too few to partition. */
    static int shortCount(int engines, double shortFraction) {
        if (engines < MINIMUM_ENGINES) {
            return 0;
        }
        return Math.max(1, Math.min(engines - 1, (int) Math.ceil(engines * shortFraction)));
    }

    /** @param shortCount The number of engines that are reserved for short prompts; 0 if there are too few to partition. */
    static EnginePartition splitRanked(List<Backend> ranked, int shortCount) {
        return shortCount == 0
                ? new EnginePartition(ranked, ranked)
                : new EnginePartition(ranked.subList(0, shortCount), ranked.subList(shortCount, ranked.size()));
    }

    /** Tells whether an engine processes a prompt in one step, even if none of it is cached. */
    public static boolean isShort(Prompt prompt) {
        return prompt.inputTokens() <= EngineProfile.PREFILL_CHUNK_TOKENS;
    }

    /** Returns the engines that are meant for a prompt of this length. */
    public List<Backend> of(Prompt prompt) {
        return isShort(prompt) ? shortPrompts : longPrompts;
    }
}
