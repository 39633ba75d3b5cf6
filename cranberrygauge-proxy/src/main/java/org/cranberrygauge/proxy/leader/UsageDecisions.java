package org.cranberrygauge.proxy.leader;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The decided figures of usage windows as far as this process knows them, and the only place that tells whether a window
 * may have been reported.
 *
 * <p>A window without known figures may have been reported all the same: the shared log keeps the figures of the newest
 * windows only, and it loses the last ones when it comes back from an older copy. Windows are decided in ascending order,
 * so that each one up to the newest that is known to be decided may have been reported. A process that has seen the log
 * come back knows when that was; one that has not knows only that it was before its first read. Both hold until a decision
 * is known that was made since, in the current era of the log. That the log holds none shows nothing: it may have come back
 * from a copy that is older than the first ones.
 *
 * <p>Invariant: the first figures known for a window are final. Not thread-safe.
 */
public final class UsageDecisions {

    /** The number of newest windows whose figures are retained, here and in the shared log. */
    public static final int RETAINED_WINDOWS = 16;

    private final long windowMillis;

    /** The time after the end of a window at which its figures are decided, in milliseconds. */
    private final long settlingMillis;

    /** By window. */
    private final TreeMap<Long, UsageDecision> known = new TreeMap<>();

    /** The windows whose figures the log holds. */
    private final Set<Long> stored = new HashSet<>();

    /** Whether the log has been read, or was seen to come back. */
    private boolean initialized;

    /** Whether a decision is known that was made in the current era. */
    private boolean decidedInEra;

    /** The wall-clock time up to which a lost record may have decided windows, in milliseconds since the epoch. */
    private long lostBeforeMillis = Long.MIN_VALUE;

    /**
     * @param windowMillis The length of a window in milliseconds.
     * @param settlingMillis The time after the end of a window at which its figures are decided, in milliseconds.
     */
    public UsageDecisions(long windowMillis, long settlingMillis) {
        this.windowMillis = windowMillis;
        this.settlingMillis = settlingMillis;
    }

    /** Tells whether the log has been read, or was seen to come back; before that, no status is known. */
    public boolean isInitialized() {
        return initialized;
    }

    /**
     * Records that the log has come back from an older copy.
     *
     * @param wallMillis The time in milliseconds since the epoch.
     */
    public void recordRollback(long wallMillis) {
        initialized = true;
        decidedInEra = false;
        lostBeforeMillis = wallMillis;
        stored.clear();
    }

    /**
     * Records all decisions that the log holds. If the first read shows none of the current era, all windows that have ended
     * by then may have been reported, also by a host whose clock was ahead of this one's by less than the settling time.
     *
     * @param wallMillis The time in milliseconds since the epoch at which the read ended.
     * @param era The current era of the log.
     */
    public void recordRead(long wallMillis, long era, Collection<UsageDecision> held) {
        stored.clear();
        held.forEach(decision -> recordStored(era, decision));
        if (!initialized) {
            initialized = true;
            lostBeforeMillis = wallMillis + settlingMillis;
        }
    }

    /**
     * Records a decision that the log holds.
     *
     * @param era The current era of the log.
     */
    public void recordStored(long era, UsageDecision decision) {
        known.putIfAbsent(decision.window(), decision);
        known.headMap(known.lastKey() - RETAINED_WINDOWS, true).clear();
        stored.add(decision.window());
        decidedInEra |= decision.era() == era;
    }

    /** Returns the newest known decision that the log has lost, or empty if it holds all. */
    public Optional<UsageDecision> newestLost() {
        return known.descendingMap().values().stream()
                .filter(decision -> !stored.contains(decision.window()))
                .findFirst();
    }

    /** Returns the decision on a window, or empty if it is not known. */
    public Optional<UsageDecision> decision(long window) {
        return Optional.ofNullable(known.get(window));
    }

    /** Returns the oldest window whose figures are known, or {@link Long#MAX_VALUE} if there is none. */
    public long firstWindow() {
        return known.isEmpty() ? Long.MAX_VALUE : known.firstKey();
    }

    /** Returns the newest window that is known to be decided, or {@link Long#MIN_VALUE} if there is none. */
    public long newestWindow() {
        return known.isEmpty() ? Long.MIN_VALUE : known.lastKey();
    }

    /** Returns what is known of a window; it may have been reported unless it is {@link Status#UNDECIDED}. */
    public Status status(long window) {
        if (known.containsKey(window)) {
            return Status.DECIDED;
        }
        if (window <= newestWindow()) {
            return Status.FORGOTTEN;
        }
        if (!decidedInEra && dueMillis(window) <= lostBeforeMillis) {
            return Status.LOST;
        }
        return Status.UNDECIDED;
    }

    private long dueMillis(long window) {
        return (window + 1) * windowMillis + settlingMillis;
    }

    /** What is known of the figures of a window. */
    public enum Status {
        /** The figures are known. */
        DECIDED,
        /** The window precedes one that is decided; its figures, if there were any, are no longer retained. */
        FORGOTTEN,
        /** A record that the log lost by coming back from an older copy may have decided the window. */
        LOST,
        /** No host has decided the window, unless one decides it after the log was read. */
        UNDECIDED
    }
}
