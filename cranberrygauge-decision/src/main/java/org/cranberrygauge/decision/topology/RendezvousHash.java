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
 * <p>Invariants: the result depends only on the key and the set of candidates, not on their order; the loss of a candidate
 * moves only the keys that it had. Stateless and safe for use by several threads.
 */
public final class RendezvousHash {

    /** The value between the two texts of a pair. */
    private static final int SEPARATOR = 0xff;

    /** The first factor of the finalizer. */
    private static final long FIRST_MIX = 0xff51afd7ed558ccdL;

    /** The second factor of the finalizer. */
    private static final long SECOND_MIX = 0xc4ceb9fe1a85ec53L;

    /** The shift of the finalizer. */
    private static final int MIX_SHIFT = 33;

    /** Prevents instances. */
    private RendezvousHash() {}

    /**
     * Ranks candidates for a key.
     *
     * @param key The key.
     * @param candidates The candidates.
     * @param nameOf Returns the unique name of a candidate.
     * @param <T> The type of the candidates.
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
     * Divides keys over buckets, none of which takes more than its limit.
     *
     * @param keys The keys.
     * @param buckets The buckets.
     * @param limit The highest number of keys in a bucket; buckets times limit must be at least the number of keys.
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

    /**
     * Hashes a pair.
     *
     * @param key The key.
     * @param candidate The candidate.
     * @return The score.
     */
    static long score(String key, String candidate) {
        long hash = StableHash.update(StableHash.START, key);
        hash = StableHash.update(hash, SEPARATOR);
        hash = StableHash.update(hash, candidate);
        hash = (hash ^ (hash >>> MIX_SHIFT)) * FIRST_MIX;
        hash = (hash ^ (hash >>> MIX_SHIFT)) * SECOND_MIX;
        return hash ^ (hash >>> MIX_SHIFT);
    }

    /**
     * A candidate with its score, which is computed once for each ranking.
     *
     * @param candidate The candidate.
     * @param name Its unique name.
     * @param score Its score.
     * @param <T> The type of the candidate.
     */
    private record Scored<T>(T candidate, String name, long score) {}
}
