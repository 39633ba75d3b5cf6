package org.cranberrygauge.runtime.event;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
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
        StringBuilder line = new StringBuilder("event=").append(name(event));
        fields(event)
                .forEach((name, value) ->
                        line.append(' ').append(name).append('=').append(quoted(value)));
        return line.toString();
    }

    /** Returns the name of an event in snake case. */
    static String name(Event event) {
        return snakeCase(event.getClass().getSimpleName());
    }

    /** Returns the values of an event by field name in snake case, in declaration order. */
    static Map<String, String> fields(Event event) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (RecordComponent component : event.getClass().getRecordComponents()) {
            fields.put(snakeCase(component.getName()), String.valueOf(read(event, component)));
        }
        return fields;
    }

    private static Object read(Event event, RecordComponent component) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(event);
        } catch (IllegalAccessException | InvocationTargetException exception) {
            throw new IllegalStateException("record accessors are always accessible", exception);
        }
    }

    /** Converts a Java name to snake case. */
    private static String snakeCase(String name) {
        return name.replaceAll("(?<=[a-z0-9])([A-Z])", "_$1").toLowerCase(Locale.ROOT);
    }

    /** Quotes a value that contains white space, quotes or equals signs, and escapes line breaks. */
    private static String quoted(String value) {
        if (!value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=')) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
