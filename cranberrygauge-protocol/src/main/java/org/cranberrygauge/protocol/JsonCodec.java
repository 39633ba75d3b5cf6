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
 * Serializes the records of the model as JSON.
 *
 * <p>Unknown types and fields are errors: a reader that ignored them could derive a different state from a record than
 * other readers. Immutable and safe for use by several threads.
 */
public final class JsonCodec {

    /** The field with the type of a log record. */
    private static final String TYPE_FIELD = "type";

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(module())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private JsonCodec() {}

    /** Serializes a value. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("records of the model can always be serialized", exception);
        }
    }

    /**
     * Parses a value.
     *
     * @throws CranberrygaugeException If the text is not a valid value of the type.
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

    /** Returns the Jackson module for the types of log records and for usage keys as map keys. */
    public static Module module() {
        SimpleModule module = new SimpleModule();
        module.setMixInAnnotation(LogRecord.class, TypedRecord.class);
        module.addKeyDeserializer(UsageKey.class, new UsageKeyDeserializer());
        for (Class<?> type : LogRecord.class.getPermittedSubclasses()) {
            module.registerSubtypes(new NamedType(type, type.getSimpleName()));
        }
        return module;
    }

    /** Adds the type of a log record to its JSON. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = TYPE_FIELD)
    private interface TypedRecord {}

    /** Parses usage keys that are used as map keys. */
    private static final class UsageKeyDeserializer extends KeyDeserializer {

        @Override
        public Object deserializeKey(String text, DeserializationContext context) {
            return UsageKey.parse(text);
        }
    }
}
