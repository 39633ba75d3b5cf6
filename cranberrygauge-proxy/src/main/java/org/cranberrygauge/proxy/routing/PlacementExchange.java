package org.cranberrygauge.proxy.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Passes on between hosts which engine has read which prompt part.
 *
 * <p>What this host placed is told for a short time, in several reports, since one may be lost. Invariant: a bounded number
 * of parts is kept each way. Safe for use by several threads.
 */
public final class PlacementExchange {

    /** The shortest part that is told, in tokens; to read a shorter one again costs little. */
    private static final long SHORTEST_TOKENS = 512;

    /** The time for which a placement is told, in milliseconds. */
    private static final long TOLD_MILLIS = 600;

    /** The placements that are kept each way. */
    private static final int CAPACITY = 400;

    /** The placements of this host, oldest first. */
    private final Deque<Told> own = new ArrayDeque<>();

    /** The placements of other hosts that the request path has not taken yet. */
    private final Queue<PlacedPart> heard = new ConcurrentLinkedQueue<>();

    /**
     * Notes that this host sends a prompt to an engine.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param incarnation The incarnation of the engine.
     * @param prompt The prompt.
     */
    public synchronized void placed(long nowMillis, String incarnation, Prompt prompt) {
        for (PromptPart part : prompt.sharedParts()) {
            if (part.tokens() >= SHORTEST_TOKENS) {
                own.addLast(new Told(nowMillis, new PlacedPart(incarnation, part)));
            }
        }
        while (own.size() > CAPACITY) {
            own.removeFirst();
        }
    }

    /**
     * Returns the placements of this host that are still told.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The placements.
     */
    public synchronized List<PlacedPart> toTell(long nowMillis) {
        while (!own.isEmpty() && nowMillis - own.peekFirst().atMillis() > TOLD_MILLIS) {
            own.removeFirst();
        }
        List<PlacedPart> told = new ArrayList<>();
        own.forEach(entry -> told.add(entry.placed()));
        return told;
    }

    /**
     * Takes a placement of another host.
     *
     * @param placed The placement.
     */
    public void heard(PlacedPart placed) {
        if (heard.size() < CAPACITY) {
            heard.add(placed);
        }
    }

    /**
     * Gives the placements of other hosts to the loads.
     *
     * @param loads The loads.
     */
    public void applyTo(LoadTable loads) {
        for (PlacedPart placed = heard.poll(); placed != null; placed = heard.poll()) {
            loads.notePart(placed);
        }
    }

    /**
     * A placement of this host.
     *
     * @param atMillis The monotonic time in milliseconds.
     * @param placed The placement.
     */
    private record Told(long atMillis, PlacedPart placed) {}
}
