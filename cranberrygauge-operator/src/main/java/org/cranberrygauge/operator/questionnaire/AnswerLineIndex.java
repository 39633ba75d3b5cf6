package org.cranberrygauge.operator.questionnaire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Index of the lines on which the fields of a questionnaire stand.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class AnswerLineIndex {

    /** The names that the questionnaire gives to fields, by their names in the configuration. */
    private static final Map<String, String> ANSWER_NAMES = Map.of(
            "cleaningWindows", "cleaning",
            "backendServers", "engines",
            "firstTokenTargetMillis", "firstTokenMillis",
            "betweenTokensTargetMillis", "betweenTokensMillis",
            "startMinute", "start",
            "routes", "services");

    /** Line numbers by the path of the field. */
    private final Map<String, Integer> lines;

    private AnswerLineIndex(Map<String, Integer> lines) {
        this.lines = Map.copyOf(lines);
    }

    /**
     * Indexes the fields of a YAML text.
     *
     * @throws IOException If the text is not valid YAML.
     */
    public static AnswerLineIndex of(String text) throws IOException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            JsonToken token = parser.nextToken();
            while (token != null) {
                String path = path(parser.getParsingContext());
                lines.putIfAbsent(path, parser.currentTokenLocation().getLineNr());
                token = parser.nextToken();
            }
        }
        return new AnswerLineIndex(lines);
    }

    /**
     * Finds the line of a field, or else of the closest enclosing field that is present.
     *
     * @param configurationPath The path in the configuration, such as classes[0].tier.
     * @return The line from 1; 1 if no part of the path is present.
     */
    public int lineOf(String configurationPath) {
        String path = answerPath(configurationPath);
        while (!path.isEmpty()) {
            Integer line = lines.get(path);
            if (line != null) {
                return line;
            }
            path = path.substring(0, Math.max(path.lastIndexOf('.'), Math.max(path.lastIndexOf('['), 0)));
        }
        return 1;
    }

    private static String answerPath(String configurationPath) {
        StringBuilder path = new StringBuilder();
        for (String part : configurationPath.split("\\.", -1)) {
            int bracket = part.indexOf('[');
            String name = bracket < 0 ? part : part.substring(0, bracket);
            path.append(path.isEmpty() ? "" : ".").append(ANSWER_NAMES.getOrDefault(name, name));
            path.append(bracket < 0 ? "" : part.substring(bracket));
        }
        return path.toString();
    }

    private static String path(JsonStreamContext context) {
        if (context == null || context.inRoot()) {
            return "";
        }
        String parent = path(context.getParent());
        if (context.inArray()) {
            return parent + "[" + context.getCurrentIndex() + "]";
        }
        String name = context.getCurrentName();
        if (name == null) {
            return parent;
        }
        return parent.isEmpty() ? name : parent + "." + name;
    }
}
