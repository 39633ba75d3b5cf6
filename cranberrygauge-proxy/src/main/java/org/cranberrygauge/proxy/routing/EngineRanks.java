package org.cranberrygauge.proxy.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.decision.topology.RendezvousHash;
import org.cranberrygauge.proxy.backend.Backend;

/**
 * The partition of a pool's engines and their ranks for prompts, which are computed again only when the engines or the
 * partition change. Invariant: the number of retained rankings is bounded. Not thread-safe.
 */
final class EngineRanks {

    /** The rank of an engine for a prompt that shares no part, or from the other side of the partition. */
    static final int UNRANKED = -1;

    /** The maximum number of retained rankings; all are dropped beyond it. */
    private static final int MAXIMUM_RANKINGS = 256;

    /** The engines for which the ranks were computed. */
    private List<Backend> ready = List.of();

    /** The engines in the order in which they are reserved for short prompts. */
    private List<Backend> ranked = List.of();

    /** The number of engines that are reserved for short prompts. */
    private int shortCount;

    private Side shortSide = new Side(List.of());

    private Side longSide = new Side(List.of());

    /**
     * Applies the current engines.
     *
     * @param current The engines that accept new requests.
     * @param shortFraction The fraction of them that is reserved for short prompts, from 0 to 1.
     */
    void update(List<Backend> current, double shortFraction) {
        int count = EnginePartition.shortCount(current.size(), shortFraction);
        boolean sameEngines = current == ready;
        if (sameEngines && count == shortCount) {
            return;
        }
        if (!sameEngines) {
            ready = current;
            ranked = EnginePartition.ranked(current);
        }
        shortCount = count;
        EnginePartition partition = EnginePartition.splitRanked(ranked, count);
        shortSide = new Side(partition.shortPrompts());
        longSide = new Side(partition.longPrompts());
    }

    /** Tells whether an engine is meant for prompts of this length. */
    boolean isMeantFor(Backend engine, boolean shortPrompt) {
        return side(shortPrompt).incarnations.contains(engine.incarnation());
    }

    /**
     * Returns the rank of an engine for the shared parts of a prompt among the engines that are meant for it, from 0;
     * {@link #UNRANKED} without any.
     */
    int affinityRank(Backend engine, Prompt prompt, boolean shortPrompt) {
        String key = prompt.affinityKey();
        return key.isEmpty() ? UNRANKED : side(shortPrompt).ranks(key).getOrDefault(engine.incarnation(), UNRANKED);
    }

    private Side side(boolean shortPrompt) {
        return shortPrompt ? shortSide : longSide;
    }

    /** One side of the partition. */
    private static final class Side {

        private final List<Backend> engines;

        private final Set<String> incarnations = new HashSet<>();

        /** The ranks of the engines by incarnation, by the key of the prompt. */
        private final Map<String, Map<String, Integer>> rankings = new HashMap<>();

        private Side(List<Backend> engines) {
            this.engines = engines;
            engines.forEach(engine -> incarnations.add(engine.incarnation()));
        }

        private Map<String, Integer> ranks(String key) {
            Map<String, Integer> known = rankings.get(key);
            if (known != null) {
                return known;
            }
            if (rankings.size() >= MAXIMUM_RANKINGS) {
                rankings.clear();
            }
            Map<String, Integer> ranks = new HashMap<>();
            for (Backend engine : RendezvousHash.ranked(key, engines, Backend::incarnation)) {
                ranks.put(engine.incarnation(), ranks.size());
            }
            rankings.put(key, ranks);
            return ranks;
        }
    }
}
