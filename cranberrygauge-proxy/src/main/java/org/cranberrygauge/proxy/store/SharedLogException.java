package org.cranberrygauge.proxy.store;

/** A call to the shared log that failed. */
public final class SharedLogException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** The kind of failure. */
    private final Kind kind;

    /** The first offset that is still kept, where the records that were asked for are gone. */
    private final long firstOffset;

    /**
     * Creates a failure.
     *
     * @param kind The kind of failure.
     * @param message The message.
     */
    public SharedLogException(Kind kind, String message) {
        this(kind, message, 0);
    }

    /**
     * Creates a failure.
     *
     * @param kind The kind of failure.
     * @param message The message.
     * @param firstOffset The first offset that is still kept.
     */
    public SharedLogException(Kind kind, String message, long firstOffset) {
        super(message);
        this.kind = kind;
        this.firstOffset = firstOffset;
    }

    /**
     * Returns the first offset that is still kept, where the records that were asked for are gone.
     *
     * @return The offset.
     */
    public long firstOffset() {
        return firstOffset;
    }

    /**
     * Returns the kind of failure.
     *
     * @return The kind.
     */
    public Kind kind() {
        return kind;
    }

    /** The kinds of failure. */
    public enum Kind {
        /** There was no answer; the call may be carried out later. */
        NO_ANSWER,
        /** The log turned the call away; nothing was done. */
        TURNED_AWAY,
        /** The records that were asked for are gone. */
        TRIMMED,
        /** The condition of the call does not hold. */
        CONFLICT
    }
}
