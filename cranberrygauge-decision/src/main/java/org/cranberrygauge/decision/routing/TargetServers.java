package org.cranberrygauge.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The backend servers of one target, the free ones first.
 *
 * <p>Invariants: the free servers fill the positions below their number; moving one takes constant time. Used by one
 * thread at a time.
 */
final class TargetServers implements Candidates {

    /** No servers. */
    static final Candidates NONE = new TargetServers();

    /** All servers in the order of the configuration, which is the same on each gateway. */
    private final List<BackendEntry> all = new ArrayList<>();

    /** All servers, the free ones first. */
    private final List<BackendEntry> ordered = new ArrayList<>();

    /** The position of each server among the ordered ones. */
    private final Map<String, Integer> positions = new HashMap<>();

    /** The number of free servers. */
    private int free;

    /** The time of the present views. */
    private long nowMillis;

    /**
     * Adds a server, which is full until it is placed.
     *
     * @param entry The server.
     */
    void add(BackendEntry entry) {
        positions.put(entry.server.name(), ordered.size());
        ordered.add(entry);
        all.add(entry);
    }

    /**
     * Returns all servers.
     *
     * @return The servers.
     */
    List<BackendEntry> all() {
        return all;
    }

    /**
     * Moves a server that became free or full.
     *
     * @param entry The server.
     */
    void place(BackendEntry entry) {
        int position = positions.get(entry.server.name());
        if (entry.free) {
            swap(position, free);
            free++;
        } else {
            free--;
            swap(position, free);
        }
    }

    /**
     * Sets the time of views.
     *
     * @param millis The present monotonic time in milliseconds.
     * @return This object.
     */
    Candidates at(long millis) {
        nowMillis = millis;
        return this;
    }

    @Override
    public int size() {
        return free;
    }

    @Override
    public int healthy() {
        return (int) all.stream()
                .filter(entry -> entry.available && entry.coolingUntilMillis == 0)
                .count();
    }

    @Override
    public BackendView get(int index) {
        return ordered.get(index).view(nowMillis);
    }

    @Override
    public BackendView find(String server) {
        Integer position = positions.get(server);
        return position == null || position >= free ? null : get(position);
    }

    @Override
    public BackendView home(String digest) {
        if (all.isEmpty()) {
            return null;
        }
        BackendEntry entry = all.get(Math.floorMod(digest.hashCode(), all.size()));
        return entry.free ? entry.view(nowMillis) : null;
    }

    /**
     * Swaps two servers.
     *
     * @param first The position of the one.
     * @param second The position of the other.
     */
    private void swap(int first, int second) {
        BackendEntry one = ordered.get(first);
        BackendEntry other = ordered.get(second);
        ordered.set(first, other);
        ordered.set(second, one);
        positions.put(other.server.name(), first);
        positions.put(one.server.name(), second);
    }
}
