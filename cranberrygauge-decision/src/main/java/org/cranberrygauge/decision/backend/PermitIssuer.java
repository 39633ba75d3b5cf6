package org.cranberrygauge.decision.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Issues the permits to send requests to backend servers that state a limit, on the one host that does so for a server.
 *
 * <p>Invariants: the permits for a server in any span of time are at most its rate times that span plus the capacity of
 * a token bucket; time in which another host issued the permits adds none. Not thread-safe.
 */
public final class PermitIssuer {

    /** The fraction of a limit that is issued, since requests may arrive closer together than they were permitted. */
    private static final double ISSUED_FRACTION = 0.9;

    /** The lowest rate; without any request no host would see a limit end. */
    private static final double MINIMUM_PER_SECOND = 0.1;

    /** The capacity of a bucket at a low rate, in permits. */
    private static final double BASE_CAPACITY = 2;

    /** The time in seconds for which a bucket saves permits beyond the base capacity. */
    private static final double SAVED_SECONDS = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Bucket> buckets = new HashMap<>();

    /**
     * Issues permits.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param perSecond The limit of the server in requests per second for all hosts together.
     * @param hostShare The part of all hosts for which this one issues permits, from 0 to 1.
     * @param requested The number of permits requested.
     * @return The number of permits issued, from 0 to the number requested.
     */
    public int issue(long nowMillis, String incarnation, double perSecond, double hostShare, int requested) {
        Bucket bucket = buckets.computeIfAbsent(incarnation, name -> new Bucket(nowMillis));
        double rate = Math.max(MINIMUM_PER_SECOND, perSecond * ISSUED_FRACTION) * hostShare;
        bucket.refill(nowMillis, rate, BASE_CAPACITY + rate * SAVED_SECONDS);
        return bucket.take(requested);
    }

    /** Records that another host issues the permits for a server; its bucket is not refilled for that time. */
    public void pause(String incarnation) {
        Bucket bucket = buckets.get(incarnation);
        if (bucket != null) {
            bucket.paused = true;
        }
    }

    /** Removes the buckets of servers that are gone. */
    public void retain(Set<String> present) {
        buckets.keySet().retainAll(present);
    }

    /** The permits that may be issued for one server. */
    private static final class Bucket {

        private double permits = 1;

        private long refilledMillis;

        private boolean paused;

        Bucket(long nowMillis) {
            refilledMillis = nowMillis;
        }

        void refill(long nowMillis, double perSecond, double capacity) {
            double seconds = paused ? 0 : (nowMillis - refilledMillis) / MILLIS_PER_SECOND;
            permits = Math.min(capacity, permits + seconds * perSecond);
            refilledMillis = nowMillis;
            paused = false;
        }

        int take(int requested) {
            int taken = Math.min(requested, (int) permits);
            permits -= taken;
            return taken;
        }
    }
}
