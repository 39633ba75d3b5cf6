package org.cranberrygauge.proxy.stream;

import io.vertx.core.buffer.Buffer;

/**
 * Splits the bytes of an event stream at event boundaries.
 *
 * <p>Invariant: the returned bytes are the appended ones in order, and end with an empty line; the bytes after the last
 * complete event are retained up to a limit, and each byte is examined once, however the stream is split. Not thread-safe.
 */
public final class EventSplitter {

    /**
     * The maximum size of an event that arrives in several pieces. Events of language models have a few hundred bytes;
     * the limit bounds what a backend server that never ends an event can make the host retain.
     */
    public static final int MAXIMUM_EVENT_BYTES = 4 << 20;

    /** The bytes after the last complete event. */
    private Buffer partialEvent = Buffer.buffer();

    private boolean tooLong;

    private long examinedBytes;

    /**
     * Appends bytes and returns the complete events that can be forwarded; empty if there are none, or if an event has
     * exceeded the limit, after which nothing is retained.
     */
    public Buffer append(Buffer bytes) {
        if (tooLong) {
            return Buffer.buffer();
        }
        int searched = partialEvent.length();
        Buffer joined = partialEvent.length() == 0 ? bytes : partialEvent.appendBuffer(bytes);
        int end = endOfLastCompleteEvent(joined, searched);
        if (end == 0) {
            partialEvent = joined == bytes ? bytes.copy() : joined;
            enforceLimit();
            return Buffer.buffer();
        }
        Buffer completeEvents = joined.getBuffer(0, end);
        partialEvent = joined.getBuffer(end, joined.length());
        enforceLimit();
        return completeEvents;
    }

    /** Tells whether a part of an event is retained. */
    public boolean hasPartialEvent() {
        return partialEvent.length() > 0;
    }

    /** Returns the number of bytes that are retained. */
    public int partialBytes() {
        return partialEvent.length();
    }

    /** Tells whether an event has exceeded {@link #MAXIMUM_EVENT_BYTES}, so that the stream can't be split further. */
    public boolean isTooLong() {
        return tooLong;
    }

    /** Returns the number of positions that were searched for the end of an event. */
    long examinedBytes() {
        return examinedBytes;
    }

    private void enforceLimit() {
        if (partialEvent.length() > MAXIMUM_EVENT_BYTES) {
            tooLong = true;
            partialEvent = Buffer.buffer();
        }
    }

    /**
     * Returns the index after the empty line of the last complete event, or 0 if there is none.
     *
     * @param searched The number of bytes at the start that are known to contain no end of an event.
     */
    private int endOfLastCompleteEvent(Buffer bytes, int searched) {
        for (int index = bytes.length() - 1; index >= Math.max(1, searched); index--) {
            examinedBytes++;
            if (bytes.getByte(index) != '\n') {
                continue;
            }
            if (bytes.getByte(index - 1) == '\n') {
                return index + 1;
            }
            boolean carriageReturn = index > 1 && bytes.getByte(index - 1) == '\r' && bytes.getByte(index - 2) == '\n';
            if (carriageReturn) {
                return index + 1;
            }
        }
        return 0;
    }
}
