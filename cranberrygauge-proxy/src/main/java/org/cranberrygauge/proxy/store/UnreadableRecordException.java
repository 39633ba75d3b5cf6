package org.cranberrygauge.proxy.store;

/** A record that could not be decoded. */
public final class UnreadableRecordException extends Exception {

    private static final long serialVersionUID = 1L;

    public UnreadableRecordException(String message) {
        super(message);
    }
}
