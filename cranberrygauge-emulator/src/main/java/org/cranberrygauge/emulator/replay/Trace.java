package org.cranberrygauge.emulator.replay;

import java.util.List;

/**
 * A trace with what goes wrong while it is replayed.
 *
 * @param profile The profile.
 * @param seed The seed that determines it.
 * @param durationMillis The time in which requests arrive in milliseconds.
 * @param requests The requests in the order of their arrival.
 * @param faults What goes wrong.
 */
public record Trace(
        TraceProfile profile, long seed, long durationMillis, List<TraceRequest> requests, List<TraceFault> faults) {

    /** Copies the lists. */
    public Trace {
        requests = List.copyOf(requests);
        faults = List.copyOf(faults);
    }
}
