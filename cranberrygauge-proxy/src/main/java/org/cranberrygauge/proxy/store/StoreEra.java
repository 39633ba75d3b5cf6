package org.cranberrygauge.proxy.store;

import java.util.ArrayList;
import java.util.List;

/**
 * The era of the shared log, which rises each time the log comes back from an older copy of itself and so has lost what
 * it had acknowledged lately.
 *
 * <p>Invariant: the era never falls. Thread-safe; listeners are called by the thread that observes the change.
 */
public final class StoreEra {

    /** The era of a log that names none. */
    public static final long UNKNOWN = 0;

    /** The era of a log that has never come back from an older copy. */
    private static final long FIRST = 1;

    private final List<Listener> listeners = new ArrayList<>();

    private long newest = UNKNOWN;

    public synchronized long newest() {
        return newest;
    }

    /** Tells whether the log has certainly never come back from an older copy; a log that names no era does not. */
    public synchronized boolean isFirst() {
        return newest <= FIRST;
    }

    /** Adds a listener for changes after the first known era. */
    public synchronized void onChange(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Records the era of a response, before its content is used.
     *
     * @return Whether the response is not older than others; an older one must be dropped.
     */
    public boolean observe(long era) {
        long previous;
        List<Listener> informed;
        synchronized (this) {
            if (era <= newest) {
                return era == newest;
            }
            previous = newest;
            newest = era;
            informed = previous == UNKNOWN ? List.of() : List.copyOf(listeners);
        }
        informed.forEach(listener -> listener.onChange(previous, era));
        return true;
    }

    /** Is informed of changes. */
    public interface Listener {

        /** Called when offsets, group generations and records of the previous era are no longer valid. */
        void onChange(long previous, long current);
    }
}
