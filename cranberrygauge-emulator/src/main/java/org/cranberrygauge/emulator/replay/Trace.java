package org.cranberrygauge.emulator.replay;

import java.util.List;

/**
 * A trace, with the faults that occur while it is replayed.
 *
 * @param seed The seed that determines the trace.
 * @param durationMillis The length of the period in which requests arrive in milliseconds.
 * @param requests The requests in the order of their arrival.
 */
public record Trace(
        TraceProfile profile, long seed, long durationMillis, List<TraceRequest> requests, List<TraceFault> faults) {

    public Trace {
        requests = List.copyOf(requests);
        faults = List.copyOf(faults);
    }
}
