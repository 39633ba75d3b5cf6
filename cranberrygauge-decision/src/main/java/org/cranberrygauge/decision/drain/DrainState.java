package org.cranberrygauge.decision.drain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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
 * @param ended The identifiers of the drains that ended lately, the newest last.
 */
public record DrainState(Map<String, DrainStarted> drains, List<String> ended) {

    /** The number of ended drains that are remembered. */
    private static final int ENDED_LIMIT = 2_048;

    /** The fencing number of records that operators write. */
    public static final long OPERATOR = 0;

    /** Copies the collections. */
    public DrainState {
        drains = Map.copyOf(drains);
        ended = List.copyOf(ended);
    }

    /**
     * Returns the state before any drain.
     *
     * @return The initial state.
     */
    public static DrainState initial() {
        return new DrainState(Map.of(), List.of());
    }

    /**
     * Applies a start that was read from the log.
     *
     * @param started The start.
     * @param fencingNumber The fencing number in force.
     * @return The state after it.
     */
    public DrainState apply(DrainStarted started, long fencingNumber) {
        if (started.fencingNumber() != OPERATOR && started.fencingNumber() != fencingNumber) {
            return this;
        }
        Map<String, DrainStarted> next = new HashMap<>(drains);
        next.put(started.drainId(), started);
        return new DrainState(next, ended);
    }

    /**
     * Applies an end that was read from the log.
     *
     * @param end The end.
     * @param fencingNumber The fencing number in force.
     * @return The state after it.
     */
    public DrainState apply(DrainEnded end, long fencingNumber) {
        if (end.fencingNumber() != OPERATOR && end.fencingNumber() != fencingNumber) {
            return this;
        }
        Map<String, DrainStarted> next = new HashMap<>(drains);
        next.remove(end.drainId());
        List<String> nextEnded = new ArrayList<>(ended);
        nextEnded.remove(end.drainId());
        nextEnded.add(end.drainId());
        int surplus = Math.max(0, nextEnded.size() - ENDED_LIMIT);
        return new DrainState(next, nextEnded.subList(surplus, nextEnded.size()));
    }

    /**
     * Tells whether a drain ended lately.
     *
     * @param drainId The identifier of the drain.
     * @return Whether it ended.
     */
    public boolean hasEnded(String drainId) {
        return ended.contains(drainId);
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
