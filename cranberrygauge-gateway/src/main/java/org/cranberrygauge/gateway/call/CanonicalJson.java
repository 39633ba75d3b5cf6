package org.cranberrygauge.gateway.call;

import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Set;
import java.util.TreeSet;

/**
 * Writes JSON in a canonical form that is independent of field order and white space.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CanonicalJson {

    private CanonicalJson() {}

    /** Writes an object, without the top-level fields named in {@code left}. */
    static String write(JsonObject json, Set<String> excluded) {
        Set<String> names = new TreeSet<>(json.fieldNames());
        names.removeAll(excluded);
        StringBuilder text = new StringBuilder("{");
        for (String name : names) {
            text.append(Json.encode(name)).append(':');
            append(text, json.getValue(name));
            text.append(',');
        }
        return text.append('}').toString();
    }

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
