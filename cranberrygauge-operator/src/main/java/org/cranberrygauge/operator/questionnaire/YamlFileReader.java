package org.cranberrygauge.operator.questionnaire;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * Reads YAML files, with errors that name file, line and field.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class YamlFileReader {

    /** Safe for use by several threads once built. */
    private static final ObjectMapper MAPPER = YAMLMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private YamlFileReader() {}

    /**
     * Reads a file.
     *
     * @throws CranberrygaugeException If the file can't be read or does not fit the type.
     */
    public static <T> T read(Path file, Class<T> type) throws CranberrygaugeException {
        try {
            return read(file.toString(), Files.readString(file), type);
        } catch (IOException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_CONFIGURATION, file + ": can't be read: " + exception.getMessage(), exception);
        }
    }

    /**
     * Reads a text.
     *
     * @param name The name of the text in errors.
     * @throws CranberrygaugeException If the text does not fit the type.
     */
    public static <T> T read(String name, String text, Class<T> type) throws CranberrygaugeException {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new CranberrygaugeException(ErrorCode.INVALID_CONFIGURATION, name + ": is empty");
            }
            return value;
        } catch (JsonProcessingException exception) {
            throw new CranberrygaugeException(ErrorCode.INVALID_CONFIGURATION, describe(name, exception), exception);
        }
    }

    private static String describe(String name, JsonProcessingException exception) {
        JsonLocation location = exception.getLocation();
        String line = location == null ? "" : ":" + location.getLineNr();
        String field = exception instanceof JsonMappingException mapping ? path(mapping) : "";
        String message = message(exception);
        return name + line + ": " + (field.isEmpty() ? "" : field + ": ") + message;
    }

    private static String message(JsonProcessingException exception) {
        if (exception instanceof UnrecognizedPropertyException unknown) {
            TreeSet<String> known = new TreeSet<>();
            unknown.getKnownPropertyIds().forEach(name -> known.add(String.valueOf(name)));
            return "unknown field; allowed are " + String.join(", ", known);
        }
        if (exception instanceof InvalidFormatException invalid) {
            return "\"" + invalid.getValue() + "\" is not allowed; allowed is "
                    + allowedValues(invalid.getTargetType());
        }
        if (exception instanceof MismatchedInputException mismatched
                && exception.getOriginalMessage().startsWith("Cannot map `null`")) {
            return "is missing; allowed is " + allowedValues(mismatched.getTargetType());
        }
        return exception.getOriginalMessage().lines().findFirst().orElse("can't be read");
    }

    private static String allowedValues(Class<?> type) {
        if (type == null) {
            return "another value";
        }
        if (type.isEnum()) {
            return Arrays.stream(type.getEnumConstants()).map(String::valueOf).collect(Collectors.joining(", "));
        }
        if (type == boolean.class || type == Boolean.class) {
            return "true or false";
        }
        return type == double.class || type == Double.class ? "a number" : "a whole number";
    }

    /** Formats the path of a field, such as classes[0].tier. */
    private static String path(JsonMappingException exception) {
        return exception.getPath().stream()
                .map(part -> part.getFieldName() == null ? "[" + part.getIndex() + "]" : "." + part.getFieldName())
                .collect(Collectors.joining())
                .replaceFirst("^\\.", "");
    }
}
