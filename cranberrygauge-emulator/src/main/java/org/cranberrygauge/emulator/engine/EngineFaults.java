package org.cranberrygauge.emulator.engine;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.cranberrygauge.emulator.web.FaultSwitch;

/**
 * The faults of an engine that are on.
 *
 * <p>Used on the event loop of its engine only.
 */
final class EngineFaults {

    /** The strength of each fault that is on. */
    private final Map<Fault, Double> strengths = new EnumMap<>(Fault.class);

    /**
     * Switches a fault.
     *
     * @param change The switch.
     * @return Whether there is such a fault.
     */
    boolean change(FaultSwitch change) {
        String name = String.valueOf(change.name()).toUpperCase(Locale.ROOT);
        for (Fault fault : Fault.values()) {
            if (fault.name().equals(name)) {
                strengths.put(fault, change.amount());
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the strength of a fault.
     *
     * @param fault The fault.
     * @return The strength; 0 if it is off.
     */
    double strength(Fault fault) {
        return strengths.getOrDefault(fault, 0.0);
    }

    /**
     * Tells whether a fault is on.
     *
     * @param fault The fault.
     * @return Whether it is on.
     */
    boolean isOn(Fault fault) {
        return strength(fault) > 0;
    }

    /** The faults that can be switched. */
    enum Fault {
        /** The engine is slower by the given factor. */
        SLOW,
        /** Answers are garbage. */
        GARBAGE,
        /** Connections are dropped. */
        DROP,
        /** Requests are never answered. */
        HANG,
        /** Requests are answered with the given status. */
        STATUS,
        /** Answers carry the identifier of another attempt. */
        CROSSED,
        /** Streams break after the given number of tokens. */
        BREAK_AFTER_TOKENS,
        /** Streams stop without an end after the given number of tokens. */
        HANG_AFTER_TOKENS,
        /** Streams have a garbage event after the given number of tokens. */
        GARBAGE_AFTER_TOKENS,
        /** The load report is older by the given number of milliseconds. */
        LOAD_LAG_MILLIS,
        /** Cache events are published later by the given number of milliseconds. */
        CACHE_EVENT_LAG_MILLIS,
        /** Of the given number of cache events, each last one is never published. */
        CACHE_EVENT_GAP
    }
}
