package org.cranberrygauge.proxy.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of recent streams, by the request that brought the first event.
 *
 * <p>Invariants: of several origins of a stream the first one holds; the number of streams is bounded, and the ones that
 * were recorded longest ago are removed first. Not thread-safe.
 */
public final class StreamOrigins {

    /** The time for which an origin is retained; callers give a stream up long before. */
    private static final long RETENTION_MILLIS = 60_000;

    /** The maximum number of streams. */
    private static final int CAPACITY = 20_000;

    /** In the order in which they were recorded last. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /**
     * Records the origin of a stream, or that the stream was resumed.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param requestId The request that brought the first event.
     */
    public void record(long nowMillis, String requestId, StreamOrigin origin) {
        Entry known = entries.remove(requestId);
        entries.put(requestId, new Entry(known == null ? origin : known.origin(), nowMillis));
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = nowMillis - oldest.next().recordedMillis() > RETENTION_MILLIS;
            if (!expired && entries.size() <= CAPACITY) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns the origin of a stream, or empty if it is not known here. */
    public Optional<StreamOrigin> find(String requestId) {
        return Optional.ofNullable(entries.get(requestId)).map(Entry::origin);
    }

    /**
     * The origin of one stream.
     *
     * @param recordedMillis The monotonic time at which it was recorded last, in milliseconds.
     */
    private record Entry(StreamOrigin origin, long recordedMillis) {}
}
