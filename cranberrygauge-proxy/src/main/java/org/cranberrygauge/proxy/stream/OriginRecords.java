package org.cranberrygauge.proxy.stream;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which origins of streams have to be stored in the shared log, at which ones streams may begin, and when a
 * stored one is removed.
 *
 * <p>Invariants: a stream begins only at an origin that this host has stored since its servers were listed, unless that
 * failed for too long; an origin is removed only once it has not been listed, and its record has not changed, for as
 * long as callers may resume a stream. Not thread-safe.
 */
public final class OriginRecords {

    /** The time for which callers may resume a stream, in milliseconds; they give it up long before. */
    static final long RESUMABLE_MILLIS = 60_000;

    /** The time after which streams may begin at an origin that could not be stored, in milliseconds. */
    static final long STORE_TIMEOUT_MILLIS = 2_000;

    /** The monotonic times since which origins are listed. */
    private final Map<StreamOrigin, Long> listedSinceMillis = new HashMap<>();

    /** The listed origins that this host has stored since they were listed. */
    private final Set<StreamOrigin> confirmed = new HashSet<>();

    /** The origins that are not listed and may still be stored. */
    private final Map<StreamOrigin, Unlisted> unlisted = new HashMap<>();

    /** The monotonic time since which all origins of this host were stored before streams began there. */
    private long observedSinceMillis;

    /** @param nowMillis The current monotonic time in milliseconds. */
    public OriginRecords(long nowMillis) {
        observedSinceMillis = nowMillis;
    }

    /**
     * Records the origins of the listed backend servers.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordListed(long nowMillis, Set<StreamOrigin> listed) {
        for (StreamOrigin origin : Set.copyOf(listedSinceMillis.keySet())) {
            if (!listed.contains(origin)) {
                listedSinceMillis.remove(origin);
                confirmed.remove(origin);
                unlisted.put(origin, new Unlisted("", nowMillis));
            }
        }
        for (StreamOrigin origin : listed) {
            listedSinceMillis.putIfAbsent(origin, nowMillis);
            unlisted.remove(origin);
        }
    }

    /** Records that this host has stored an origin. */
    public void recordStored(StreamOrigin origin) {
        if (listedSinceMillis.containsKey(origin)) {
            confirmed.add(origin);
        }
    }

    /**
     * Records what the shared log holds.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordRead(long nowMillis, StoredOrigins stored) {
        unlisted.keySet().retainAll(stored.origins().keySet());
        stored.origins().forEach((origin, record) -> {
            Unlisted known = unlisted.get(origin);
            if (!listedSinceMillis.containsKey(origin)
                    && (known == null || !known.record().equals(record))) {
                unlisted.put(origin, new Unlisted(record, nowMillis));
            }
        });
    }

    /**
     * Records that the shared log may have lost what was stored.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordLoss(long nowMillis) {
        confirmed.clear();
        unlisted.clear();
        observedSinceMillis = nowMillis;
    }

    public Set<StreamOrigin> listed() {
        return Collections.unmodifiableSet(listedSinceMillis.keySet());
    }

    /** Returns the origins that this host has to store. */
    public Set<StreamOrigin> missing() {
        return listedSinceMillis.keySet().stream()
                .filter(origin -> !confirmed.contains(origin))
                .collect(Collectors.toSet());
    }

    /**
     * Returns the origins at which streams may begin.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public Set<StreamOrigin> permitted(long nowMillis) {
        return listedSinceMillis.keySet().stream()
                .filter(origin ->
                        confirmed.contains(origin) || nowMillis - listedSinceMillis.get(origin) >= STORE_TIMEOUT_MILLIS)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the origins whose records may be removed, as far as known; a fresh read has to confirm it.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public Set<StreamOrigin> removable(long nowMillis) {
        return unlisted.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().sinceMillis() >= RESUMABLE_MILLIS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /**
     * Tells whether every origin is stored at which a stream that callers may still resume began, as far as this host
     * can tell.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public boolean isComplete(long nowMillis) {
        return nowMillis - observedSinceMillis >= RESUMABLE_MILLIS;
    }

    /**
     * What is known of an origin that is not listed.
     *
     * @param record What is stored of it; empty before it was read.
     * @param sinceMillis The monotonic time since which it is not listed and its record is the same, in milliseconds.
     */
    private record Unlisted(String record, long sinceMillis) {}
}
