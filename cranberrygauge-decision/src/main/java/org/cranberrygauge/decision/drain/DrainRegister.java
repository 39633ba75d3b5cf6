package org.cranberrygauge.decision.drain;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.model.record.LogRecord.DrainEnded;
import org.cranberrygauge.model.record.LogRecord.DrainStarted;

/**
 * The drains that stand in the log.
 *
 * <p>Invariants: a backend server is drained while any drain names it; a record with a fencing number other than the one
 * in force is void unless it is an operator's. Immutable and safe for use by several threads.
 *
 * @param drains The drains by identifier.
 */
public record DrainRegister(Map<String, DrainStarted> drains) {

    /** The fencing number of records that operators write. */
    public static final long OPERATOR = 0;

    /** Copies the map. */
    public DrainRegister {
        drains = Map.copyOf(drains);
    }

    /**
     * Returns the state before any drain.
     *
     * @return The initial state.
     */
    public static DrainRegister initial() {
        return new DrainRegister(Map.of());
    }

    /**
     * Builds the state from a list of drains.
     *
     * @param started The drains.
     * @return The state.
     */
    public static DrainRegister of(Collection<DrainStarted> started) {
        Map<String, DrainStarted> drains = new HashMap<>();
        started.forEach(drain -> drains.put(drain.drainId(), drain));
        return new DrainRegister(drains);
    }

    /**
     * Applies a start that was read from the log.
     *
     * @param started The start.
     * @param fencingNumber The fencing number in force.
     * @return The state after it.
     */
    public DrainRegister apply(DrainStarted started, long fencingNumber) {
        if (started.fencingNumber() != OPERATOR && started.fencingNumber() != fencingNumber) {
            return this;
        }
        Map<String, DrainStarted> next = new HashMap<>(drains);
        next.put(started.drainId(), started);
        return new DrainRegister(next);
    }

    /**
     * Applies an end that was read from the log.
     *
     * @param ended The end.
     * @param fencingNumber The fencing number in force.
     * @return The state after it.
     */
    public DrainRegister apply(DrainEnded ended, long fencingNumber) {
        if (ended.fencingNumber() != OPERATOR && ended.fencingNumber() != fencingNumber) {
            return this;
        }
        Map<String, DrainStarted> next = new HashMap<>(drains);
        next.remove(ended.drainId());
        return new DrainRegister(next);
    }

    /**
     * Tells whether a backend server is drained.
     *
     * @param backendServer The name of the backend server.
     * @return Whether it gets no new work.
     */
    public boolean isDrained(String backendServer) {
        return drains.values().stream().anyMatch(drain -> drain.backendServers().contains(backendServer));
    }
}
