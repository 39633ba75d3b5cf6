package org.cranberrygauge.protocol;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.Module;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.UsageKey;

/**
 * Writes and reads the records of the model as JSON.
 *
 * <p>Unknown types and fields are errors, since a reader that skipped them would judge a record differently from others.
 * Immutable and safe for use by several threads.
 */
public final class JsonCodec {

    /** The field that names the type of a log record. */
    private static final String TYPE_FIELD = "type";

    /** The mapper, which is safe for use by several threads once built. */
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(module())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    /** Prevents instances. */
    private JsonCodec() {}

    /**
     * Writes a value.
     *
     * @param value The value.
     * @return The JSON text.
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("records of the model can always be written", exception);
        }
    }

    /**
     * Reads a value.
     *
     * @param text The JSON text.
     * @param type The type.
     * @param <T> The type.
     * @return The value.
     * @throws CranberrygaugeException If the text is no such value.
     */
    public static <T> T read(String text, Class<T> type) throws CranberrygaugeException {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST,
                    "no " + type.getSimpleName() + ": " + exception.getOriginalMessage(),
                    exception);
        }
    }

    /**
     * Returns the module that knows the types of log records and the written form of usage keys.
     *
     * @return The module.
     */
    public static Module module() {
        SimpleModule module = new SimpleModule();
        module.setMixInAnnotation(LogRecord.class, TypedRecord.class);
        module.addKeyDeserializer(UsageKey.class, new UsageKeyDeserializer());
        for (Class<?> type : LogRecord.class.getPermittedSubclasses()) {
            module.registerSubtypes(new NamedType(type, type.getSimpleName()));
        }
        return module;
    }

    /** Names the type of a record in its JSON. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = TYPE_FIELD)
    private interface TypedRecord {}

    /** Reads the written form of a usage key. */
    private static final class UsageKeyDeserializer extends KeyDeserializer {

        @Override
        public Object deserializeKey(String text, DeserializationContext context) {
            return UsageKey.parse(text);
        }
    }
}
