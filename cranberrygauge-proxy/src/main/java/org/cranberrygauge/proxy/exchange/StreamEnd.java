package org.cranberrygauge.proxy.exchange;

/**
 * What is known of the end of a stream whose server ended it with the connection alone, so that it may be a break.
 *
 * <p>Invariant: the statement of a server that the stream has ended holds until another server sends more events; from then
 * on no such statement counts for this stream. Not thread-safe.
 */
final class StreamEnd {

    /** Whether the last server that sent something has ended the stream. */
    private boolean stated;

    /** Whether events followed after a server had ended the stream. */
    private boolean refuted;

    /** Records that a server has ended the stream with its connection, and returns whether another one did so before. */
    boolean recordUnframedEnd() {
        boolean agreed = stated;
        stated = true;
        return agreed;
    }

    /** Records that events have arrived. */
    void recordEvents() {
        refuted |= stated;
        stated = false;
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
