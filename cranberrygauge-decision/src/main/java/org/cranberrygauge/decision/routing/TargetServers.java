package org.cranberrygauge.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The backend servers of one target, free servers first.
 *
 * <p>Invariants: the free servers occupy the positions below their number; moving a server takes constant time. Not
 * thread-safe; callers serialize access.
 */
final class TargetServers implements Candidates {

    /** The candidates of an unknown target. */
    static final Candidates NONE = new TargetServers();

    /** All servers in configuration order, which is the same at each gateway. */
    private final List<BackendEntry> all = new ArrayList<>();

    /** All servers, free servers first. */
    private final List<BackendEntry> ordered = new ArrayList<>();

    /** The position of each server in {@link #ordered}. */
    private final Map<String, Integer> positions = new HashMap<>();

    private int free;

    /** Adds a server, which counts as full until it is placed. */
    void add(BackendEntry entry) {
        positions.put(entry.server.name(), ordered.size());
        ordered.add(entry);
        all.add(entry);
    }

    List<BackendEntry> all() {
        return all;
    }

    /** Moves a server that became free or full. */
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

    @Override
    public int size() {
        return free;
    }

    @Override
    public int healthy() {
        return (int) all.stream()
                .filter(entry -> entry.available && entry.cooldownUntilMillis == 0)
                .count();
    }

    @Override
    public BackendView get(int index) {
        return ordered.get(index).view();
    }

    @Override
    public BackendView find(String server) {
        Integer position = positions.get(server);
        return position == null || position >= free ? null : get(position);
    }

    @Override
    public BackendView assigned(String digest) {
        if (all.isEmpty()) {
            return null;
        }
        BackendEntry entry = all.get(Math.floorMod(digest.hashCode(), all.size()));
        return entry.free ? entry.view() : null;
    }

    private void swap(int first, int second) {
        BackendEntry one = ordered.get(first);
        BackendEntry other = ordered.get(second);
        ordered.set(first, other);
        ordered.set(second, one);
        positions.put(other.server.name(), first);
        positions.put(one.server.name(), second);
    }
}
