package org.cranberrygauge.runtime.event;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Logger;

/** Takes events and writes each as one line of key=value pairs. */
public interface EventLog {

    /**
     * Writes an event.
     *
     * @param event The event.
     */
    void emit(Event event);

    /**
     * Writes events through tinylog.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Tinylog implements EventLog {
        /** The only instance. */
        INSTANCE;

        @Override
        public void emit(Event event) {
            Logger.info("{}", EventLog.line(event));
        }
    }

    /**
     * Passes each event on to several logs.
     *
     * <p>Immutable; safe for use by several threads if its parts are.
     *
     * @param parts The logs.
     */
    record Compound(List<EventLog> parts) implements EventLog {

        /** Copies the list. */
        public Compound {
            parts = List.copyOf(parts);
        }

        @Override
        public void emit(Event event) {
            parts.forEach(part -> part.emit(event));
        }
    }

    /** Drops events. */
    enum NoOp implements EventLog {
        /** The only instance. */
        INSTANCE;

        @Override
        public void emit(Event event) {
            // Events are dropped.
        }
    }

    /**
     * Formats an event.
     *
     * @param event The event.
     * @return The line.
     */
    static String line(Event event) {
        StringBuilder line = new StringBuilder("event=").append(name(event));
        fields(event)
                .forEach((name, value) ->
                        line.append(' ').append(name).append('=').append(quoted(value)));
        return line.toString();
    }

    /**
     * Returns the name of an event.
     *
     * @param event The event.
     * @return The name in snake case.
     */
    static String name(Event event) {
        return snakeCase(event.getClass().getSimpleName());
    }

    /**
     * Returns the fields of an event.
     *
     * @param event The event.
     * @return The values by the names of the fields in snake case, in their order.
     */
    static Map<String, String> fields(Event event) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (RecordComponent component : event.getClass().getRecordComponents()) {
            fields.put(snakeCase(component.getName()), String.valueOf(read(event, component)));
        }
        return fields;
    }

    /**
     * Reads a component.
     *
     * @param event The event.
     * @param component The component.
     * @return The value.
     */
    private static Object read(Event event, RecordComponent component) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(event);
        } catch (IllegalAccessException | InvocationTargetException exception) {
            throw new IllegalStateException("accessors of records can always be called", exception);
        }
    }

    /**
     * Turns a Java name into snake case.
     *
     * @param name The name.
     * @return The name in snake case.
     */
    private static String snakeCase(String name) {
        return name.replaceAll("(?<=[a-z0-9])([A-Z])", "_$1").toLowerCase(Locale.ROOT);
    }

    /**
     * Quotes a value that has white space or quotes, and folds it into one line.
     *
     * @param value The value.
     * @return The value as written.
     */
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
