package org.cranberrygauge.gateway.call;

import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Set;
import java.util.TreeSet;

/**
 * Writes JSON in a form that depends on neither the order of fields nor white space.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CanonicalJson {

    /** Prevents instances. */
    private CanonicalJson() {}

    /**
     * Writes an object.
     *
     * @param json The object.
     * @param left The names of its fields that are left out.
     * @return The text.
     */
    static String write(JsonObject json, Set<String> left) {
        Set<String> names = new TreeSet<>(json.fieldNames());
        names.removeAll(left);
        StringBuilder text = new StringBuilder("{");
        for (String name : names) {
            text.append(Json.encode(name)).append(':');
            append(text, json.getValue(name));
            text.append(',');
        }
        return text.append('}').toString();
    }

    /**
     * Appends a value.
     *
     * @param text The text.
     * @param value The value.
     */
    private static void append(StringBuilder text, Object value) {
        if (value instanceof JsonObject object) {
            text.append(write(object, Set.of()));
        } else if (value instanceof JsonArray array) {
            text.append('[');
            for (int index = 0; index < array.size(); index++) {
                append(text, array.getValue(index));
                text.append(',');
            }
            text.append(']');
        } else {
            text.append(Json.encode(value));
        }
    }
}
