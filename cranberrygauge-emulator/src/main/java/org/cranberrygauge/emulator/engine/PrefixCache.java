package org.cranberrygauge.emulator.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The cache of prompt prefixes in limited memory, least recently used first out.
 *
 * <p>Used by one thread.
 */
public final class PrefixCache {

    /** The memory in tokens. */
    private final int limitTokens;

    /** The cached tokens by prefix, least recently used first. */
    private final Map<String, Integer> cached = new LinkedHashMap<>(16, 0.75f, true);

    /** The events since the start. */
    private final List<CacheEvent> events = new ArrayList<>();

    /** The tokens in the cache. */
    private int usedTokens;

    /**
     * Creates an empty cache.
     *
     * @param limitTokens The memory in tokens.
     */
    public PrefixCache(int limitTokens) {
        this.limitTokens = limitTokens;
    }

    /**
     * Uses a prefix, and keeps it.
     *
     * @param prefix The digest of the prefix.
     * @param tokens The number of its tokens.
     * @return The tokens that were cached before.
     */
    public int use(String prefix, int tokens) {
        Integer before = cached.get(prefix);
        if (before != null) {
            return Math.min(before, tokens);
        }
        if (tokens > limitTokens) {
            return 0;
        }
        cached.put(prefix, tokens);
        usedTokens += tokens;
        events.add(new CacheEvent(events.size() + 1, prefix, true));
        evict();
        return 0;
    }

    /** Drops prefixes until the rest fits. */
    private void evict() {
        Iterator<Map.Entry<String, Integer>> oldest = cached.entrySet().iterator();
        while (usedTokens > limitTokens) {
            Map.Entry<String, Integer> entry = oldest.next();
            usedTokens -= entry.getValue();
            events.add(new CacheEvent(events.size() + 1, entry.getKey(), false));
            oldest.remove();
        }
    }

    /**
     * Returns the events after a number.
     *
     * @param after The number.
     * @return The events.
     */
    public List<CacheEvent> eventsAfter(int after) {
        return List.copyOf(events.subList(Math.min(Math.max(0, after), events.size()), events.size()));
    }

    /**
     * Returns the number of events since the start.
     *
     * @return The number.
     */
    public int eventCount() {
        return events.size();
    }

    /**
     * A change of the cache.
     *
     * @param number The number, growing by one.
     * @param prefix The digest of the prefix.
     * @param stored Whether it was stored, else dropped.
     */
    public record CacheEvent(int number, String prefix, boolean stored) {}
}
