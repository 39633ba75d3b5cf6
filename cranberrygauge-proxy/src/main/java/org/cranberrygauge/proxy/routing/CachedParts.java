package org.cranberrygauge.proxy.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts that an engine has probably cached, by what this host sent there.
 *
 * <p>Invariant: the parts remembered hold at most a set number of tokens; the least recently used yield. Used by one thread.
 */
final class CachedParts {

    /** The tokens by part, least recently used first. */
    private final Map<String, Long> parts = new LinkedHashMap<>(16, 0.75f, true);

    /** The highest number of tokens remembered. */
    private final long capacityTokens;

    /** The tokens remembered. */
    private long tokens;

    /**
     * Creates a memory.
     *
     * @param capacityTokens The highest number of tokens remembered.
     */
    CachedParts(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Returns the tokens at the start of a prompt that are cached.
     *
     * @param prompt The parts of the prompt in order.
     * @return The tokens of the cached parts before the first that isn't.
     */
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

    /**
     * Notes that a prompt is read.
     *
     * @param prompt The parts of the prompt in order.
     */
    void note(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Long before = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Map.Entry<String, Long>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
