package org.cranberrygauge.decision.evacuation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * The data centres that the operator has evacuated.
 *
 * <p>Invariants: an evacuation takes effect as soon as it is read, and ends only when its record is removed. A list from
 * an older copy of the store ends none before the operator has had time to write its records again. Not thread-safe.
 */
public final class Evacuations {

    /** The time after a rollback of the store within which the operator writes lost records again. */
    private static final long REWRITE_MILLIS = 5_000;

    private final Set<String> evacuated = new HashSet<>();

    /** The monotonic times at which evacuations end that an older copy of the store lacks, by data centre. */
    private final Map<String, Long> expiryMillis = new HashMap<>();

    /** The monotonic time until which a missing record does not end an evacuation. */
    private long rewriteEndMillis = Long.MIN_VALUE;

    /** Starts the evacuation of a data centre. */
    public void start(String dataCentre) {
        evacuated.add(dataCentre);
        expiryMillis.remove(dataCentre);
    }

    /** Ends the evacuation of a data centre whose record was removed. */
    public void end(String dataCentre) {
        evacuated.remove(dataCentre);
        expiryMillis.remove(dataCentre);
    }

    /**
     * Replaces the evacuations by a complete list.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void replace(long nowMillis, Set<String> listed) {
        for (String dataCentre : Set.copyOf(evacuated)) {
            if (listed.contains(dataCentre)) {
                continue;
            }
            if (nowMillis < rewriteEndMillis) {
                expiryMillis.putIfAbsent(dataCentre, rewriteEndMillis);
            } else {
                end(dataCentre);
            }
        }
        listed.forEach(this::start);
    }

    /**
     * Records that the store has come back from an older copy.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordRollback(long nowMillis) {
        rewriteEndMillis = nowMillis + REWRITE_MILLIS;
    }

    /**
     * Returns the evacuated data centres as an immutable set.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public Set<String> current(long nowMillis) {
        Iterator<Map.Entry<String, Long>> entries = expiryMillis.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Long> entry = entries.next();
            if (nowMillis >= entry.getValue()) {
                evacuated.remove(entry.getKey());
                entries.remove();
            }
        }
        return Set.copyOf(evacuated);
    }
}
