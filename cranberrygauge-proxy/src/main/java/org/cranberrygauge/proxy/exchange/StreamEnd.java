package org.cranberrygauge.proxy.exchange;

/**
 * What is known of the end of a stream whose server ended it with the connection alone, so that it may be a break.
 *
 * <p>Invariant: the statement of a server that the stream has ended holds until another server sends more events; from then
 * on no such statement counts for this stream. Not thread-safe.
 */
final class StreamEnd {

    /** Whether a server has ended the stream and no event has followed. */
    private boolean stated;

    /** The number of events after which it did so. */
    private long endedAfter;

    /** Whether events followed after a server had ended the stream. */
    private boolean refuted;

    /** @param acceptedEvents The number of events that the caller has. */
    void recordUnframedEnd(long acceptedEvents) {
        stated = true;
        endedAfter = acceptedEvents;
    }

    /**
     * Records what has arrived from a server; comments alone refute no end.
     *
     * @param acceptedEvents The number of events that the caller has.
     */
    void recordEvents(long acceptedEvents) {
        if (stated && acceptedEvents > endedAfter) {
            refuted = true;
            stated = false;
        }
    }

    /** Tells whether a server has ended the stream and none has sent events since. */
    boolean isStated() {
        return stated;
    }

    /** Tells whether the end may be passed on as what it is: the statement of a server by the end of its connection. */
    boolean isCredible() {
        return stated && !refuted;
    }
}
