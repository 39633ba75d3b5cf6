package org.cranberrygauge.runtime.http;

import io.netty.buffer.ByteBuf;

/**
 * Looks for a status line in bytes that come piece by piece, in each form that the decoder accepts.
 *
 * <p>Invariant: the bytes that match end with the last one that was appended. Used by one thread.
 */
final class StatusLineSearch {

    /** The form of the protocol; a hash stands for a digit. */
    private static final String PROTOCOL = "HTTP/#.#";

    private static final int STATUS_DIGITS = 3;

    /** The number of characters of the protocol that match. */
    private int matching;

    /** Whether white space follows the protocol. */
    private boolean separated;

    /** The number of digits that follow the white space. */
    private int digits;

    StatusLineSearch() {}

    private StatusLineSearch(StatusLineSearch other) {
        matching = other.matching;
        separated = other.separated;
        digits = other.digits;
    }

    void append(ByteBuf bytes) {
        if (!isFound()) {
            bytes.forEachByte(next -> {
                append((char) (next & 0xff));
                return !isFound();
            });
        }
    }

    boolean isFound() {
        return digits == STATUS_DIGITS;
    }

    /** Tells whether the bytes so far end with the first part of a status line, and others begin with the rest. */
    boolean isCompletedBy(ByteBuf others) {
        StatusLineSearch rest = new StatusLineSearch(this);
        int index = others.readerIndex();
        while (!rest.isFound() && rest.matching > 0 && index < others.writerIndex()) {
            rest.advance((char) (others.getByte(index++) & 0xff));
        }
        return !isFound() && rest.isFound();
    }

    private void append(char next) {
        if (!advance(next)) {
            advance(next);
        }
    }

    /** Goes on by one character; begins anew if it does not match. */
    private boolean advance(char next) {
        if (matching < PROTOCOL.length()) {
            return advanceProtocol(next);
        }
        if (Character.isDigit(next) && separated) {
            digits++;
            return true;
        }
        if ((next == ' ' || next == '\t') && digits == 0) {
            separated = true;
            return true;
        }
        return reset();
    }

    private boolean advanceProtocol(char next) {
        char form = PROTOCOL.charAt(matching);
        if (form == '#' ? !Character.isDigit(next) : form != next) {
            return reset();
        }
        matching++;
        return true;
    }

    private boolean reset() {
        matching = 0;
        separated = false;
        digits = 0;
        return false;
    }
}
