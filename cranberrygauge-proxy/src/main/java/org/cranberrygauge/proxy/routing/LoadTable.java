package org.cranberrygauge.proxy.routing;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/** The load that this host's own requests cause, by incarnation of a backend server. Not thread-safe. */
public final class LoadTable {

    private final Map<String, BackendLoad> loads = new HashMap<>();

    /**
     * Returns the load of a backend server and creates it if needed.
     *
     * @param memoryTokens The capacity of the KV cache in tokens; 0 if unknown.
     */
    public BackendLoad of(String incarnation, long memoryTokens) {
        return loads.computeIfAbsent(incarnation, name -> new BackendLoad(memoryTokens));
    }

    /** Records that another host has sent a prompt part to an engine; ignored for engines without an entry. */
    void addCachedPart(PlacedPart placed) {
        BackendLoad load = loads.get(placed.incarnation());
        if (load != null) {
            load.addCachedPart(placed.part());
        }
    }

    /** Removes the entries of backend servers that are idle and no longer listed. */
    public void removeUnlisted(BackendSnapshot snapshot) {
        loads.entrySet().removeIf(entry -> entry.getValue().work().running() == 0 && !snapshot.lists(entry.getKey()));
    }

    /** Returns the work of this host by incarnation, for backend servers that have any. */
    public Map<String, Work> work() {
        Map<String, Work> work = new HashMap<>();
        loads.forEach((incarnation, load) -> {
            if (load.work().running() > 0) {
                work.put(incarnation, load.work());
            }
        });
        return work;
    }
}
