package org.cranberrygauge.runtime.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;

/**
 * Checks the names of the fields in the head of a response as its lines arrive.
 *
 * <p>The name of a field is a token, and a colon follows it at once (RFC 9110, 5.6.2; RFC 9112, 5.1). The decoder of Netty
 * ends a name at its first blank and drops the rest of it, and takes a line that begins with a blank for a part of the field
 * before it. A proxy may reject a response with either. Invariant: lines after the end of the head are not examined. Used by
 * one thread, for one head.
 */
final class FieldLines {

    private static final String TOKEN_CHARACTERS =
            "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

    private static final BitSet TOKEN_BYTES = new BitSet();

    static {
        for (byte next : TOKEN_CHARACTERS.getBytes(StandardCharsets.US_ASCII)) {
            TOKEN_BYTES.set(next);
        }
    }

    /** Whether the status line has arrived. */
    private boolean begun;

    /** Whether the empty line has arrived that ends the head. */
    private boolean ended;

    /**
     * Examines the lines that have arrived whole, and reads nothing.
     *
     * @param bytes The bytes that follow the lines that were examined before.
     * @return Whether each name among them is valid.
     */
    boolean areValid(ByteBuf bytes) {
        int start = bytes.readerIndex();
        while (!ended) {
            int end = bytes.indexOf(start, bytes.writerIndex(), (byte) '\n');
            if (end < 0) {
                return true;
            }
            if (!isValid(bytes, start, end)) {
                return false;
            }
            start = end + 1;
        }
        return true;
    }

    private boolean isValid(ByteBuf bytes, int start, int end) {
        boolean empty = end == start || (end == start + 1 && bytes.getByte(start) == '\r');
        if (!begun) {
            begun = !empty;
            return true;
        }
        ended = empty;
        return empty || isField(bytes, start, end);
    }

    private static boolean isField(ByteBuf bytes, int start, int end) {
        int nameEnd = start;
        while (nameEnd < end && TOKEN_BYTES.get(bytes.getByte(nameEnd) & 0xff)) {
            nameEnd++;
        }
        return nameEnd > start && nameEnd < end && bytes.getByte(nameEnd) == ':';
    }
}
