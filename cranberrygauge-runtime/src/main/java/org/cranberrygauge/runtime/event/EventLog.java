package org.cranberrygauge.runtime.event;

import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/** Receives events and writes each of them as one line of key=value pairs. */
public interface EventLog {

    /** Writes an event. */
    void emit(Event event);

    /**
     * Writes events through tinylog.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Tinylog implements EventLog {
        INSTANCE;

        @Override
        public void emit(Event event) {
            Logger.info("{}", EventLog.line(event));
        }
    }

    /**
     * Passes each event on to several logs.
     *
     * <p>Immutable; safe for use by several threads if all its parts are.
     */
    record Compound(List<EventLog> parts) implements EventLog {

        public Compound {
            parts = List.copyOf(parts);
        }

        @Override
        public void emit(Event event) {
            parts.forEach(part -> part.emit(event));
        }
    }

    /** Discards events. */
    enum NoOp implements EventLog {
        INSTANCE;

        @Override
        public void emit(Event event) {
            // Discards the event.
        }
    }

    /** Formats an event as a line without a time stamp. */
    static String line(Event event) {
        return EventFormat.of(event).line(event);
    }

    /** Returns the name of an event in snake case. */
    static String name(Event event) {
        return EventFormat.of(event).name();
    }

    /** Returns the values of an event by field name in snake case, in declaration order. */
    static Map<String, String> fields(Event event) {
        return EventFormat.of(event).values(event);
    }
}
