package org.cranberrygauge.proxy.store;

/** A record that can't be understood. */
public final class UnreadableRecordException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates a failure.
     *
     * @param message What is wrong.
     */
    public UnreadableRecordException(String message) {
        super(message);
    }
}
