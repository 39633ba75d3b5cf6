package org.cranberrygauge.runtime.event;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.Locale;
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
        StringBuilder line =
                new StringBuilder("event=").append(snakeCase(event.getClass().getSimpleName()));
        for (RecordComponent component : event.getClass().getRecordComponents()) {
            line.append(' ').append(snakeCase(component.getName())).append('=');
            line.append(quoted(String.valueOf(read(event, component))));
        }
        return line.toString();
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
