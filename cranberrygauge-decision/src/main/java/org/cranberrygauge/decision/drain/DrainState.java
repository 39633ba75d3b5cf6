package org.cranberrygauge.decision.drain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.record.LogRecord.DrainEnded;
import org.cranberrygauge.model.record.LogRecord.DrainStarted;

/**
 * The drains recorded in the log.
 *
 * <p>Invariants: a backend server is drained while any drain names it; a record whose fencing number is not the one in
 * force is void, unless an operator wrote it. Immutable and thread-safe.
 *
 * @param ended The identifiers of recently ended drains, newest last.
 */
public record DrainState(Map<String, DrainStarted> drains, List<String> ended) {

    /** The number of ended drains that are remembered. */
    private static final int ENDED_LIMIT = 2_048;

    /** The fencing number of records that operators write. */
    public static final long OPERATOR = 0;

    public DrainState {
        drains = Map.copyOf(drains);
        ended = List.copyOf(ended);
    }

    /** Returns the state before any drain. */
    public static DrainState initial() {
        return new DrainState(Map.of(), List.of());
    }

    /**
     * Applies the start of a drain that was read from the log.
     *
     * @param fencingNumber The fencing number in force.
     * @return The state after the start, or this state if the record is void.
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
     * Applies the end of a drain that was read from the log.
     *
     * @param fencingNumber The fencing number in force.
     * @return The state after the end, or this state if the record is void.
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

    /** Returns whether a drain ended recently. */
    public boolean hasEnded(String drainId) {
        return ended.contains(drainId);
    }

    /** Returns whether a backend server is drained and gets no new work. */
    public boolean isDrained(String backendServer) {
        return drains.values().stream().anyMatch(drain -> drain.backendServers().contains(backendServer));
    }
}
