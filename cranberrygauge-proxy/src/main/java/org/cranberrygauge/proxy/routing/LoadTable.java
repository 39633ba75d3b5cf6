package org.cranberrygauge.proxy.routing;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * The loads of all backend servers that this host sends requests to.
 *
 * <p>Used by one thread.
 */
public final class LoadTable {

    /** The loads by incarnation. */
    private final Map<String, BackendLoad> loads = new HashMap<>();

    /**
     * Returns the load of a backend server.
     *
     * @param incarnation The incarnation of the backend server.
     * @param memoryTokens The tokens that its memory holds; 0 if not known.
     * @return The load.
     */
    public BackendLoad of(String incarnation, long memoryTokens) {
        return loads.computeIfAbsent(incarnation, name -> new BackendLoad(memoryTokens));
    }

    /**
     * Notes that another host has sent a prompt part to an engine.
     *
     * @param placed The part and the engine.
     */
    void notePart(PlacedPart placed) {
        BackendLoad load = loads.get(placed.incarnation());
        if (load != null) {
            load.notePart(placed.part());
        }
    }

    /**
     * Forgets idle backend servers that are no longer listed.
     *
     * @param catalogue The backend servers that are listed.
     */
    public void forgetUnlisted(BackendSnapshot catalogue) {
        loads.entrySet().removeIf(entry -> entry.getValue().work().running() == 0 && !catalogue.lists(entry.getKey()));
    }

    /**
     * Returns the work of this host at each backend server that has any.
     *
     * @return The work by incarnation.
     */
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
