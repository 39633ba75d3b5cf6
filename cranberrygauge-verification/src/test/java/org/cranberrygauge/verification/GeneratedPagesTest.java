package org.cranberrygauge.verification;

import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Label;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cranberrygauge.runtime.event.Event;
import org.junit.jupiter.api.Test;

class GeneratedPagesTest {

    private static final String WRITE = "cranberrygauge.write-pages";

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    private static final Pattern RECORD =
            Pattern.compile("/\\*\\*((?:(?!\\*/).)*)\\*/\\s*(?:public |static )*record (\\w+)\\(", Pattern.DOTALL);

    private static final Pattern PARAMETER = Pattern.compile("@param (\\w+) ([^@]*)", Pattern.DOTALL);

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.cranberrygauge");

    @Test
    void the_page_of_metrics_is_what_the_code_registers() throws Exception {
        Map<String, String> rows = new TreeMap<>();
        for (JavaClass found : CLASSES) {
            if (found.getSimpleName().endsWith("Metrics") && registersMetrics(found)) {
                addMetrics(found.reflect(), rows);
            }
        }
        String text =
                "# Metrics\n\nWritten from the code; checked by GeneratedPagesTest. Times are in seconds. Labels are"
                        + " bounded: customers and\nclasses by the configuration, codes and what follows by enumerations.\n\n"
                        + "| name | type | labels | meaning |\n|---|---|---|---|\n"
                        + String.join("", rows.values());
        check("METRICS.md", text);
    }

    @Test
    void the_page_of_events_is_what_the_code_emits() throws IOException {
        Map<String, String> sections = new TreeMap<>();
        for (JavaClass found : CLASSES) {
            if (found.isAssignableTo(Event.class) && found.isRecord()) {
                sections.put(snakeCase(found.getSimpleName()) + found.getName(), section(found));
            }
        }
        String text = "# Events\n\nWritten from the code; checked by GeneratedPagesTest. Each event is one line of"
                + " key=value pairs that begins with\n`event=NAME`; the fields follow in this order.\n"
                + String.join("", sections.values());
        check("EVENTS.md", text);
    }

    private static boolean registersMetrics(JavaClass found) {
        return found.getConstructors().stream()
                .anyMatch(constructor -> constructor.getRawParameterTypes().size() == 1
                        && constructor.getRawParameterTypes().get(0).isEquivalentTo(PrometheusRegistry.class));
    }

    private static void addMetrics(Class<?> type, Map<String, String> rows) throws ReflectiveOperationException {
        PrometheusRegistry registry = new PrometheusRegistry();
        Object metrics = type.getConstructor(PrometheusRegistry.class).newInstance(registry);
        for (Method method : type.getDeclaredMethods()) {
            if (Modifier.isPublic(method.getModifiers()) && !Modifier.isStatic(method.getModifiers())) {
                method.invoke(
                        metrics,
                        Arrays.stream(method.getParameterTypes())
                                .map(GeneratedPagesTest::sample)
                                .toArray());
            }
        }
        for (MetricSnapshot snapshot : registry.scrape()) {
            String name = snapshot.getMetadata().getName() + (snapshot instanceof CounterSnapshot ? "_total" : "");
            String labels = snapshot.getDataPoints().stream()
                    .flatMap(point -> point.getLabels().stream().map(Label::getName))
                    .distinct()
                    .collect(Collectors.joining(", "));
            rows.put(
                    name,
                    "| " + name + " | " + typeOf(snapshot) + " | " + labels + " | "
                            + snapshot.getMetadata().getHelp() + " |\n");
        }
    }

    private static String typeOf(MetricSnapshot snapshot) {
        if (snapshot instanceof HistogramSnapshot) {
            return "histogram";
        }
        return snapshot instanceof CounterSnapshot ? "counter" : "gauge";
    }

    private static Object sample(Class<?> type) {
        if (type == String.class) {
            return "sample";
        }
        if (type == double.class) {
            return 1.0;
        }
        if (type == long.class) {
            return 1L;
        }
        if (type == int.class) {
            return 1;
        }
        if (type == boolean.class) {
            return true;
        }
        return type.isEnum() ? type.getEnumConstants()[0] : null;
    }

    private static String section(JavaClass found) throws IOException {
        String comment = comment(found);
        Map<String, String> parameters = new TreeMap<>();
        Matcher matcher = PARAMETER.matcher(comment);
        while (matcher.find()) {
            parameters.put(matcher.group(1), matcher.group(2).trim());
        }
        String described = comment.split("@param", 2)[0].trim();
        StringBuilder text = new StringBuilder("\n## " + snakeCase(found.getSimpleName()) + "\n\n" + described + "\n");
        List<String> fields = Arrays.stream(found.reflect().getRecordComponents())
                .map(component -> "\n- `" + snakeCase(component.getName()) + "`: "
                        + parameters.getOrDefault(component.getName(), ""))
                .toList();
        return text + String.join("", fields) + "\n";
    }

    private static String comment(JavaClass found) throws IOException {
        String topLevel = found.getName().replaceAll("\\$.*", "").replace('.', '/') + ".java";
        try (Stream<Path> files = Files.list(ROOT)) {
            for (Path module : files.sorted().toList()) {
                Path source = module.resolve("src/main/java").resolve(topLevel);
                if (Files.exists(source)) {
                    return comment(Files.readString(source), found.getSimpleName());
                }
            }
        }
        return "";
    }

    private static String comment(String source, String name) {
        Matcher matcher = RECORD.matcher(source);
        while (matcher.find()) {
            if (matcher.group(2).equals(name)) {
                return matcher.group(1).replaceAll("\\s*\\n\\s*\\*[ \\t]?", " ").trim();
            }
        }
        return "";
    }

    private static String snakeCase(String name) {
        return name.replaceAll("(?<=[a-z0-9])([A-Z])", "_$1").toLowerCase(Locale.ROOT);
    }

    private static void check(String name, String text) throws IOException {
        Path page = ROOT.resolve("docs").resolve(name);
        if (Boolean.getBoolean(WRITE)) {
            Files.writeString(page, text);
        }
        assertThat(page)
                .as("write it again: mvn -B verify -D%s=true", WRITE)
                .exists()
                .hasContent(text);
    }
}
