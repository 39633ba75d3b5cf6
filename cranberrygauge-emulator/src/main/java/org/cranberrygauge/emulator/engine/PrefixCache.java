package org.cranberrygauge.emulator.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cache of prompt prefixes with limited capacity, from which the least recently used prefix is evicted first.
 *
 * <p>Used by one thread.
 */
public final class PrefixCache {

    private final int capacityTokens;

    /** The number of tokens of each cached prefix, least recently used first. */
    private final Map<String, Integer> cached = new LinkedHashMap<>(16, 0.75f, true);

    private final List<CacheEvent> events = new ArrayList<>();

    private int usedTokens;

    public PrefixCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Looks up a prefix and caches it if it is missing; a prefix larger than the cache is not cached.
     *
     * @param prefix The digest of the prefix.
     * @param tokens The number of its tokens.
     * @return The number of tokens that were cached before.
     */
    public int use(String prefix, int tokens) {
        Integer before = cached.get(prefix);
        if (before != null) {
            return Math.min(before, tokens);
        }
        if (tokens > capacityTokens) {
            return 0;
        }
        cached.put(prefix, tokens);
        usedTokens += tokens;
        events.add(new CacheEvent(events.size() + 1, prefix, true));
        evict();
        return 0;
    }

    /** Evicts prefixes until the rest fits. */
    private void evict() {
        Iterator<Map.Entry<String, Integer>> oldest = cached.entrySet().iterator();
        while (usedTokens > capacityTokens) {
            Map.Entry<String, Integer> entry = oldest.next();
            usedTokens -= entry.getValue();
            events.add(new CacheEvent(events.size() + 1, entry.getKey(), false));
            oldest.remove();
        }
    }

    /** Returns the events with a higher number than the given one. */
    public List<CacheEvent> eventsAfter(int after) {
        return List.copyOf(events.subList(Math.min(Math.max(0, after), events.size()), events.size()));
    }

    /** Returns the number of events since the cache was created. */
    public int eventCount() {
        return events.size();
    }

    /**
     * A change of the cache.
     *
     * @param number The number of the event, which grows by one from 1.
     * @param prefix The digest of the prefix.
     * @param stored Whether the prefix was stored; otherwise it was evicted.
     */
    public record CacheEvent(int number, String prefix, boolean stored) {}
}
