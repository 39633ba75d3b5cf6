package org.cranberrygauge.decision.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Decides when an operator is told that a server is slower or faster than its pool. Not thread-safe. */
public final class SpeedNotices {

    /** The ratio from which a server is called slow; its inverse is the ratio up to which one is called fast. */
    private static final double NOTICEABLE_RATIO = 1.5;

    /** The minimum time between two notices of one server. */
    private static final long INTERVAL_MILLIS = 10_000;

    private final Map<String, Notice> last = new HashMap<>();

    /**
     * Returns the standing of a server if it has changed and is to be reported.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param server The incarnation of the server.
     */
    public Optional<Standing> update(long nowMillis, String server, double ratio) {
        Standing standing = Standing.of(ratio);
        Notice previous = last.get(server);
        Standing before = previous == null ? Standing.TYPICAL : previous.standing();
        if (standing == before || (previous != null && nowMillis - previous.atMillis() < INTERVAL_MILLIS)) {
            return Optional.empty();
        }
        last.put(server, new Notice(nowMillis, standing));
        return Optional.of(standing);
    }

    /** Removes the servers that are no longer listed. */
    public void retain(Predicate<String> listed) {
        last.keySet().removeIf(listed.negate());
    }

    /** How a server compares with its pool. */
    public enum Standing {
        SLOW,
        TYPICAL,
        FAST;

        /** Returns the standing of a server with this ratio of its time to that of its pool. */
        public static Standing of(double ratio) {
            if (ratio >= NOTICEABLE_RATIO) {
                return SLOW;
            }
            return ratio <= 1 / NOTICEABLE_RATIO ? FAST : TYPICAL;
        }
    }

    /** The last notice of a server. */
    private record Notice(long atMillis, Standing standing) {}
}
