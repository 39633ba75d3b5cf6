package org.cranberrygauge.proxy.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts an engine has in its prefix cache, from the prompts that were sent to it.
 *
 * <p>Invariant: the recorded parts hold at most a fixed number of tokens; the least recently used parts are evicted.
 * Not thread-safe.
 */
final class CachedParts {

    /** The tokens by part identifier, in order of access. */
    private final Map<String, Long> parts = new LinkedHashMap<>(16, 0.75f, true);

    private final long capacityTokens;

    private long tokens;

    CachedParts(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the length in tokens of the longest cached prefix of a prompt, whose parts are given in order. */
    long cachedTokens(List<PromptPart> prompt) {
        long cached = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            cached += part.tokens();
        }
        return cached;
    }

    /** Records that the engine processes a prompt, whose parts are given in order. */
    void add(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Long previous = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (previous == null ? 0 : previous);
        }
        Iterator<Map.Entry<String, Long>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
