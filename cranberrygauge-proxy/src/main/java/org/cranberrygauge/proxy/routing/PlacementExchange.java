package org.cranberrygauge.proxy.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Shares between hosts which engine has processed which prompt part.
 *
 * <p>A local placement is included in several consecutive reports, since a report may be lost. Invariant: the number of
 * buffered placements is bounded in both directions. Thread-safe.
 */
public final class PlacementExchange {

    /** The minimum length of a part that is reported; processing a shorter one again is cheap. */
    private static final long MINIMUM_PART_TOKENS = 512;

    /** The time for which a placement is reported. */
    private static final long REPORTING_MILLIS = 600;

    /** The maximum number of buffered placements in each direction. */
    private static final int CAPACITY = 400;

    private final Deque<RecentPlacement> local = new ArrayDeque<>();

    /** The placements of other hosts that are not applied yet. */
    private final Queue<PlacedPart> received = new ConcurrentLinkedQueue<>();

    /**
     * Records that this host sends a prompt to an engine.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param incarnation The incarnation of the engine.
     */
    public synchronized void record(long nowMillis, String incarnation, Prompt prompt) {
        for (PromptPart part : prompt.sharedParts()) {
            if (part.tokens() >= MINIMUM_PART_TOKENS) {
                local.addLast(new RecentPlacement(nowMillis, new PlacedPart(incarnation, part)));
            }
        }
        while (local.size() > CAPACITY) {
            local.removeFirst();
        }
    }

    /**
     * Returns the local placements that are due for the next report.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized List<PlacedPart> recent(long nowMillis) {
        while (!local.isEmpty() && nowMillis - local.peekFirst().atMillis() > REPORTING_MILLIS) {
            local.removeFirst();
        }
        List<PlacedPart> recentParts = new ArrayList<>();
        local.forEach(entry -> recentParts.add(entry.placed()));
        return recentParts;
    }

    /** Buffers a placement of another host; dropped if the buffer is full. */
    public void receive(PlacedPart placed) {
        if (received.size() < CAPACITY) {
            received.add(placed);
        }
    }

    /** Adds the buffered placements of other hosts to the load table. */
    public void applyTo(LoadTable loads) {
        for (PlacedPart placed = received.poll(); placed != null; placed = received.poll()) {
            loads.addCachedPart(placed);
        }
    }

    /** A local placement with the monotonic time at which it was recorded. */
    private record RecentPlacement(long atMillis, PlacedPart placed) {}
}
