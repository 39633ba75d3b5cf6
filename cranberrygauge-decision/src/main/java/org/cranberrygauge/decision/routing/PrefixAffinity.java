package org.cranberrygauge.decision.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which backend server last read a prefix.
 *
 * <p>Implementations are used by one thread at a time.
 */
public interface PrefixAffinity {

    /**
     * Finds where a prefix was read last.
     *
     * @param prefixDigest The digest of the prefix.
     * @return Where and when, or null if it is not known.
     */
    Reading find(String prefixDigest);

    /**
     * Notes where a prefix is read.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param prefixDigest The digest of the prefix.
     * @param server The name of the backend server.
     */
    void read(long nowMillis, String prefixDigest, String server);

    /**
     * Where and when a prefix was read.
     *
     * @param server The name of the backend server.
     * @param readAtMillis The monotonic time in milliseconds.
     */
    record Reading(String server, long readAtMillis) {}

    /** Remembers the prefixes that were used last, up to a limit. */
    final class Recent implements PrefixAffinity {

        /** The readings by digest, least recently used first. */
        private final Map<String, Reading> readings;

        /**
         * Creates a memory.
         *
         * @param limit The number of prefixes that are remembered.
         */
        public Recent(int limit) {
            readings = new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Reading> eldest) {
                    return size() > limit;
                }
            };
        }

        @Override
        public Reading find(String prefixDigest) {
            return readings.get(prefixDigest);
        }

        @Override
        public void read(long nowMillis, String prefixDigest, String server) {
            readings.put(prefixDigest, new Reading(server, nowMillis));
        }
    }

    /** Remembers nothing. */
    enum Disabled implements PrefixAffinity {
        /** The only instance. */
        INSTANCE;

        @Override
        public Reading find(String prefixDigest) {
            return null;
        }

        @Override
        public void read(long nowMillis, String prefixDigest, String server) {
            // Nothing is remembered.
        }
    }
}
