package org.cranberrygauge.decision.topology;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Rendezvous hashing: each key ranks all candidates by a hash of the pair.
 *
 * <p>Invariants: the result depends only on the key and the set of candidates, not on their order; the removal of a
 * candidate moves only the keys that it had. Stateless and thread-safe.
 */
public final class RendezvousHash {

    /** The value hashed between the key and the candidate. */
    private static final int SEPARATOR = 0xff;

    /** The first multiplier of the finalizer. */
    private static final long FIRST_MIX = 0xff51afd7ed558ccdL;

    /** The second multiplier of the finalizer. */
    private static final long SECOND_MIX = 0xc4ceb9fe1a85ec53L;

    /** The shift distance of the finalizer. */
    private static final int MIX_SHIFT = 33;

    private RendezvousHash() {}

    /**
     * Ranks candidates for a key.
     *
     * @param nameOf Returns the unique name of a candidate.
     * @return The candidates, best first.
     */
    public static <T> List<T> ranked(String key, Collection<T> candidates, Function<T, String> nameOf) {
        List<Scored<T>> scored = new ArrayList<>(candidates.size());
        for (T candidate : candidates) {
            String name = nameOf.apply(candidate);
            scored.add(new Scored<>(candidate, name, score(key, name)));
        }
        scored.sort(
                Comparator.<Scored<T>>comparingLong(Scored::score).reversed().thenComparing(Scored::name));
        List<T> ranked = new ArrayList<>(scored.size());
        scored.forEach(entry -> ranked.add(entry.candidate()));
        return ranked;
    }

    /**
     * Distributes keys over buckets with a limit on the keys per bucket.
     *
     * @param limit The maximum number of keys per bucket; the number of buckets times the limit must be at least the
     *     number of keys.
     * @return The keys by bucket, each in natural order.
     */
    public static Map<String, List<String>> divide(Collection<String> keys, Collection<String> buckets, int limit) {
        Map<String, List<String>> divided = new TreeMap<>();
        buckets.forEach(bucket -> divided.put(bucket, new ArrayList<>()));
        List<String> ordered = new ArrayList<>(keys);
        ordered.sort(Comparator.<String>comparingLong(key -> score(key, "")).thenComparing(Comparator.naturalOrder()));
        for (String key : ordered) {
            for (String bucket : ranked(key, buckets, Function.identity())) {
                List<String> taken = divided.get(bucket);
                if (taken.size() < limit) {
                    taken.add(key);
                    break;
                }
            }
        }
        divided.values().forEach(taken -> taken.sort(Comparator.naturalOrder()));
        return divided;
    }

    /** Returns the score of a candidate for a key. */
    static long score(String key, String candidate) {
        long hash = StableHash.update(StableHash.START, key);
        hash = StableHash.update(hash, SEPARATOR);
        hash = StableHash.update(hash, candidate);
        hash = (hash ^ (hash >>> MIX_SHIFT)) * FIRST_MIX;
        hash = (hash ^ (hash >>> MIX_SHIFT)) * SECOND_MIX;
        return hash ^ (hash >>> MIX_SHIFT);
    }

    /**
     * A candidate with its score, which is computed once per ranking.
     *
     * @param name The unique name of the candidate.
     */
    private record Scored<T>(T candidate, String name, long score) {}
}
