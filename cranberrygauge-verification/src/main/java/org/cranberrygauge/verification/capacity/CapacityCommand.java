package org.cranberrygauge.verification.capacity;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TException;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.setting.SettingsParser;

/**
 * Measures how the cost of the control plane grows, and writes the results and the tables of docs/CAPACITY.md.
 *
 * <p>Not thread-safe.
 */
public final class CapacityCommand {

    private static final String NAME = "bench capacity";

    @Parameter(names = "--output", description = "File for the results, as JSON")
    private Path output = Path.of("docs/measurements/capacity.json");

    @Parameter(names = "--page", description = "Page whose tables are replaced")
    private Path page = Path.of("docs/CAPACITY.md");

    @Parameter(names = "--no-measure", description = "Writes the tables of the page from the results file only")
    private boolean noMeasure;

    @Parameter(names = "--help", help = true, description = "Prints this help and exits")
    private boolean help;

    /**
     * Runs the command.
     *
     * @throws IOException If a file can't be read or written.
     * @throws TException If a message can't be serialized.
     * @throws CranberrygaugeException If a log entry can't be parsed.
     */
    public static void main(String[] arguments) throws IOException, TException, CranberrygaugeException {
        CapacityCommand command = new CapacityCommand();
        try {
            new SettingsParser(NAME, System.getenv()).parse(command, arguments);
        } catch (SettingException exception) {
            System.err.println(exception.getMessage());
            System.exit(SettingsParser.EXIT_STATUS);
        }
        if (command.help) {
            System.out.println("bench capacity [--output FILE] [--page FILE] [--no-measure]");
            return;
        }
        command.run();
    }

    /** Measures, unless the tables are only rendered again, and writes the results. */
    private void run() throws IOException, TException, CranberrygaugeException {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        List<Slope> slopes = noMeasure
                ? mapper.readValue(output.toFile(), CapacityResults.class).slopes()
                : measure();
        CapacityResults results = new CapacityResults(
                System.getProperty("java.version"),
                Runtime.getRuntime().availableProcessors(),
                slopes,
                TargetModel.estimates(slopes));
        Files.createDirectories(output.toAbsolutePath().getParent());
        Files.writeString(output, mapper.writeValueAsString(results) + "\n");
        if (Files.exists(page)) {
            Files.writeString(page, CapacityPage.replace(Files.readString(page), results));
        }
        System.out.println(CapacityPage.tables(results));
    }

    private static List<Slope> measure() throws TException, CranberrygaugeException {
        Meter meter = new Meter();
        List<Slope> slopes = new ArrayList<>();
        slopes.addAll(new LogBenchmark(meter).measure());
        System.err.println("bench capacity: log measured");
        slopes.addAll(new ConfigurationBenchmark(meter).measure());
        System.err.println("bench capacity: configuration measured");
        slopes.addAll(new ExchangeBenchmark(meter).measure());
        System.err.println("bench capacity: exchange and routing measured");
        slopes.addAll(new MetricsBenchmark(meter).measure());
        System.err.println("bench capacity: metrics measured");
        slopes.addAll(new BatchingBenchmark().measure());
        return slopes;
    }
}
