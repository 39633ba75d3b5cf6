package org.cranberrygauge.decision.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which backend server last processed a prompt prefix.
 *
 * <p>Implementations are not thread-safe; callers serialize access.
 */
public interface PrefixAffinity {

    /**
     * Returns where a prefix was last processed.
     *
     * @return The server and time, or {@code null} if unknown.
     */
    CachedPrefix find(String prefixDigest);

    /** Records the backend server that processes a prefix. */
    void recordPrefill(long nowMillis, String prefixDigest, String server);

    /** The backend server that processed a prefix, and when. */
    record CachedPrefix(String server, long prefilledAtMillis) {}

    /** Remembers a bounded number of the most recently used prefixes. */
    final class Recent implements PrefixAffinity {

        /** The prefixes by digest, least recently used first. */
        private final Map<String, CachedPrefix> prefixes;

        /**
         * Creates an instance that remembers no prefix yet.
         *
         * @param limit The number of prefixes to remember.
         */
        public Recent(int limit) {
            prefixes = new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, CachedPrefix> eldest) {
                    return size() > limit;
                }
            };
        }

        @Override
        public CachedPrefix find(String prefixDigest) {
            return prefixes.get(prefixDigest);
        }

        @Override
        public void recordPrefill(long nowMillis, String prefixDigest, String server) {
            prefixes.put(prefixDigest, new CachedPrefix(server, nowMillis));
        }
    }

    /** Remembers nothing. */
    enum Disabled implements PrefixAffinity {
        INSTANCE;

        @Override
        public CachedPrefix find(String prefixDigest) {
            return null;
        }

        @Override
        public void recordPrefill(long nowMillis, String prefixDigest, String server) {
            // No state is kept.
        }
    }
}
