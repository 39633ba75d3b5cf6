package org.cranberrygauge.emulator.engine;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.cranberrygauge.emulator.web.FaultSwitch;

/**
 * The faults that are on at an emulated engine.
 *
 * <p>Used on the event loop of its engine only.
 */
final class EngineFaults {

    /** Strengths of the faults that have been switched; 0 for a fault that was switched off. */
    private final Map<Fault, Double> strengths = new EnumMap<>(Fault.class);

    /**
     * Switches a fault.
     *
     * @return Whether the fault exists.
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

    /** Returns the strength of a fault; 0 if it is off. */
    double strength(Fault fault) {
        return strengths.getOrDefault(fault, 0.0);
    }

    boolean isOn(Fault fault) {
        return strength(fault) > 0;
    }

    /** Faults that can be switched on. */
    enum Fault {
        /** The engine is slower by this factor. */
        SLOW,
        /** Responses are not valid JSON. */
        GARBAGE,
        /** Connections are closed without a response. */
        DROP,
        /** Requests are never answered. */
        HANG,
        /** Requests are answered with this status. */
        STATUS,
        /** Responses carry the identifier of another attempt. */
        CROSSED,
        /** Connections are closed after this number of tokens. */
        BREAK_AFTER_TOKENS,
        /** Streams stop without an end after this number of tokens. */
        HANG_AFTER_TOKENS,
        /** Streams contain an invalid event after this number of tokens, and then stop. */
        GARBAGE_AFTER_TOKENS,
        /** The load report is this many milliseconds old. */
        LOAD_LAG_MILLIS,
        /** Cache events are published this many milliseconds late. */
        CACHE_EVENT_LAG_MILLIS,
        /** Every cache event whose number is a multiple of this one is never published. */
        CACHE_EVENT_GAP
    }
}
