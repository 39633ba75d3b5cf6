package org.cranberrygauge.runtime.event;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The names and accessors of one type of events, which are determined once, since reflection takes much longer than
 * writing a line. Immutable and thread-safe.
 */
final class EventFormat {

    private static final ClassValue<EventFormat> FORMATS = new ClassValue<>() {
        @Override
        protected EventFormat computeValue(Class<?> type) {
            return new EventFormat(type);
        }
    };

    private final String name;

    private final List<Field> fields = new ArrayList<>();

    private EventFormat(Class<?> type) {
        name = snakeCase(type.getSimpleName());
        for (RecordComponent component : type.getRecordComponents()) {
            Method accessor = component.getAccessor();
            accessor.setAccessible(true);
            fields.add(new Field(snakeCase(component.getName()), accessor));
        }
    }

    static EventFormat of(Event event) {
        return FORMATS.get(event.getClass());
    }

    /** Returns the name of the type in snake case. */
    String name() {
        return name;
    }

    /** Returns the values by field name in snake case, in declaration order. */
    Map<String, String> values(Event event) {
        Map<String, String> values = new LinkedHashMap<>();
        for (Field field : fields) {
            values.put(field.name(), field.value(event));
        }
        return values;
    }

    /** Returns a line without a time stamp. */
    String line(Event event) {
        StringBuilder line = new StringBuilder("event=").append(name);
        for (Field field : fields) {
            line.append(' ').append(field.name()).append('=');
            appendQuoted(line, field.value(event));
        }
        return line.toString();
    }

    /** Converts a Java name to snake case. */
    static String snakeCase(String name) {
        StringBuilder converted = new StringBuilder();
        for (int index = 0; index < name.length(); index++) {
            char character = name.charAt(index);
            if (index > 0 && isUpper(character) && !isUpper(name.charAt(index - 1))) {
                converted.append('_');
            }
            converted.append(isUpper(character) ? (char) (character - 'A' + 'a') : character);
        }
        return converted.toString();
    }

    private static boolean isUpper(char character) {
        return character >= 'A' && character <= 'Z';
    }

    /** Quotes a value that contains white space, quotes or equals signs, and escapes line breaks. */
    private static void appendQuoted(StringBuilder line, String value) {
        if (!needsQuotes(value)) {
            line.append(value);
            return;
        }
        line.append('"')
                .append(value.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r"))
                .append('"');
    }

    private static boolean needsQuotes(String value) {
        for (int index = 0; index < value.length(); index++) {
            char character = value.charAt(index);
            if (character <= ' ' || character == '"' || character == '=') {
                return true;
            }
        }
        return value.isEmpty();
    }

    /** One component of a record, with its name in snake case. */
    private record Field(String name, Method accessor) {

        String value(Event event) {
            try {
                return String.valueOf(accessor.invoke(event));
            } catch (IllegalAccessException | InvocationTargetException exception) {
                throw new IllegalStateException("record accessors are always accessible", exception);
            }
        }
    }
}
