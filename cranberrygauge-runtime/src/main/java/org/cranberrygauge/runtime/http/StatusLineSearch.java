package org.cranberrygauge.runtime.http;

import io.netty.buffer.ByteBuf;

/**
 * Looks for a status line in bytes that come piece by piece. Used by one thread.
 *
 * <p>Invariant: the bytes that match end with the last one that was appended.
 */
final class StatusLineSearch {

    /** The form of the first characters of a status line; a hash stands for a digit. */
    private static final String FORM = "HTTP/#.# ###";

    /** The number of characters of the form that the last bytes match. */
    private int matching;

    private boolean found;

    void append(ByteBuf bytes) {
        if (!found) {
            bytes.forEachByte(this::append);
        }
    }

    boolean isFound() {
        return found;
    }

    /** Tells whether the bytes so far end with the first part of a status line, and others begin with the rest. */
    boolean isCompletedBy(ByteBuf others) {
        int missing = FORM.length() - matching;
        if (found || matching == 0 || others.readableBytes() < missing) {
            return false;
        }
        for (int index = 0; index < missing; index++) {
            if (!matches(FORM.charAt(matching + index), others.getByte(others.readerIndex() + index))) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the search goes on. */
    private boolean append(byte next) {
        if (!matches(FORM.charAt(matching), next)) {
            matching = 0;
        }
        if (matches(FORM.charAt(matching), next)) {
            matching++;
        }
        found = matching == FORM.length();
        return !found;
    }

    private static boolean matches(char form, byte next) {
        return form == '#' ? next >= '0' && next <= '9' : form == next;
    }
}
