package org.cranberrygauge.proxy.backend;

/**
 * When, and through whom, the list of backend servers was last read to its end. Immutable and thread-safe.
 *
 * @param sentMillis The monotonic time at which the read was sent, in milliseconds. It is dated from the query if another
 *     host read, less the age that its response states, so that the list never appears newer than it is.
 */
public record ListReading(Source source, long sentMillis) {

    /** Stands for a list that was never read to its end. */
    public static final ListReading NONE = new ListReading(Source.NONE, 0);

    /**
     * Returns the time since the read was sent in milliseconds; -1 if there was none.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public long ageMillis(long nowMillis) {
        return source == Source.NONE ? -1 : nowMillis - sentMillis;
    }

    /** Who has read the list. */
    public enum Source {
        NONE,
        /** This host. */
        LOG,
        /** Another host, which this one queried. */
        OTHER_HOST
    }
}
