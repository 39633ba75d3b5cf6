package org.cranberrygauge.proxy.stream;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream after whole events.
 *
 * <p>Invariant: the bytes returned are those taken, in order, and end with an empty line; what follows the last whole event
 * is kept back. Used by one thread.
 */
public final class EventSplitter {

    /** The start of the line that holds an event's identifier. */
    private static final String ID_FIELD = "id:";

    /** The bytes after the last whole event. */
    private Buffer rest = Buffer.buffer();

    /** The identifier of the last whole event. */
    private Optional<String> lastId = Optional.empty();

    /**
     * Takes bytes.
     *
     * @param bytes The bytes.
     * @return The whole events that can be passed on; may be empty.
     */
    public Buffer take(Buffer bytes) {
        Buffer joined = rest.length() == 0 ? bytes : rest.appendBuffer(bytes);
        int end = endOfLastEvent(joined);
        if (end == 0) {
            rest = joined == bytes ? bytes.copy() : joined;
            return Buffer.buffer();
        }
        Buffer whole = joined.getBuffer(0, end);
        rest = joined.getBuffer(end, joined.length());
        readLastId(whole);
        return whole;
    }

    /**
     * Returns the identifier of the last whole event.
     *
     * @return The identifier, or nothing if no event had one.
     */
    public Optional<String> lastId() {
        return lastId;
    }

    /**
     * Tells whether a part of an event is kept back.
     *
     * @return Whether bytes are kept back.
     */
    public boolean midEvent() {
        return rest.length() > 0;
    }

    /**
     * Finds the end of the last whole event.
     *
     * @param bytes The bytes.
     * @return The index after its empty line, or 0 if there is no whole event.
     */
    private static int endOfLastEvent(Buffer bytes) {
        for (int index = bytes.length() - 1; index > 0; index--) {
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

    /**
     * Reads the identifier of the last event.
     *
     * @param whole Whole events.
     */
    private void readLastId(Buffer whole) {
        String text = whole.toString(StandardCharsets.ISO_8859_1);
        int start = text.startsWith(ID_FIELD) ? 0 : -1;
        int later = text.lastIndexOf("\n" + ID_FIELD);
        if (later >= 0) {
            start = later + 1;
        }
        if (start < 0) {
            return;
        }
        int end = text.indexOf('\n', start);
        lastId = Optional.of(text.substring(start + ID_FIELD.length(), end).trim());
    }
}
