package org.cranberrygauge.proxy.store;

/** A failed call to the shared log. */
public final class SharedLogException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    private final long firstOffset;

    public SharedLogException(Kind kind, String message) {
        this(kind, message, 0);
    }

    public SharedLogException(Kind kind, String message, long firstOffset) {
        super(message);
        this.kind = kind;
        this.firstOffset = firstOffset;
    }

    /** Returns the first retained offset for a failure of kind {@link Kind#TRIMMED}; 0 for others. */
    public long firstOffset() {
        return firstOffset;
    }

    public Kind kind() {
        return kind;
    }

    /** The kinds of failure. */
    public enum Kind {
        /** There was no response; the call may still be carried out. */
        NO_ANSWER,
        /** The log rejected the call; nothing was done. */
        TURNED_AWAY,
        /** The requested records are no longer retained. */
        TRIMMED,
        /** The log has come back from an older copy, so that offsets read before are not valid. */
        ERA_CHANGED,
        /** The condition of the call does not hold. */
        CONFLICT
    }
}
