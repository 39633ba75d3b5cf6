package org.cranberrygauge.verification.benchmark;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.setting.AddressConverter;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.setting.SettingsParser;

/**
 * Measures what the gateways add to a request and what they carry, over real sockets.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
public final class LoadCommand {

    /** The number of times that direct and routed calls take turns. */
    private static final int TURNS = 3;

    /** The length of one turn in seconds. */
    private static final int TURN_SECONDS = 4;

    /** The requests in flight while what the gateways add is measured. */
    private static final int LIGHT_CONCURRENCY = 16;

    /** The requests in flight while what the gateways carry is measured. */
    private static final int HEAVY_CONCURRENCY = 128;

    /** The tokens of an answer. */
    private static final int OUTPUT_TOKENS = 4;

    /** The clock ticks of a second in the process table. */
    private static final double TICKS_PER_SECOND = 100;

    /** The position of the user time in a line of the process table, after the name. */
    private static final int USER_TIME = 11;

    /** The number of microseconds in a millisecond. */
    private static final double MICROS_PER_MILLI = 1_000;

    /** The gateways. */
    @Parameter(names = "--gateways", required = true, converter = AddressConverter.class, description = "HOST:PORT,…")
    private List<NetworkAddress> gateways = new ArrayList<>();

    /** The engines. */
    @Parameter(names = "--engines", required = true, converter = AddressConverter.class, description = "HOST:PORT,…")
    private List<NetworkAddress> engines = new ArrayList<>();

    /** The processes of the gateways. */
    @Parameter(names = "--gateway-processes", required = true, description = "Process ids of the gateways")
    private List<Long> processes = new ArrayList<>();

    /** The key of the caller. */
    @Parameter(names = "--key", required = true, description = "Key of a customer")
    private String key = "";

    /** The model. */
    @Parameter(names = "--model", required = true, description = "Model")
    private String model = "";

    /** The file for the page. */
    @Parameter(names = "--output", required = true, description = "File for the page")
    private Path output;

    /**
     * Runs the load.
     *
     * @param arguments The command line.
     * @throws IOException If the page can't be written.
     * @throws InterruptedException If the load is interrupted.
     * @throws ExecutionException If a caller fails.
     */
    public static void main(String[] arguments) throws IOException, InterruptedException, ExecutionException {
        LoadCommand command = new LoadCommand();
        try {
            new SettingsParser("load", Map.of()).parse(command, arguments);
        } catch (SettingException exception) {
            System.err.println(exception.getMessage());
            System.exit(SettingsParser.EXIT_STATUS);
        }
        command.run();
    }

    /**
     * Runs the load and writes the page.
     *
     * @throws IOException If the page can't be written.
     * @throws InterruptedException If the load is interrupted.
     * @throws ExecutionException If a caller fails.
     */
    private void run() throws IOException, InterruptedException, ExecutionException {
        LoadCallers direct = new LoadCallers(engines, key, model, OUTPUT_TOKENS);
        LoadCallers routed = new LoadCallers(gateways, key, model, OUTPUT_TOKENS);
        direct.run(LIGHT_CONCURRENCY, TURN_SECONDS);
        routed.run(LIGHT_CONCURRENCY, TURN_SECONDS);
        LoadCallers.Outcome directly = LoadCallers.Outcome.empty();
        LoadCallers.Outcome throughGateways = LoadCallers.Outcome.empty();
        for (int turn = 0; turn < TURNS; turn++) {
            directly = directly.plus(direct.run(LIGHT_CONCURRENCY, TURN_SECONDS));
            throughGateways = throughGateways.plus(routed.run(LIGHT_CONCURRENCY, TURN_SECONDS));
        }
        double cpuBefore = processorSeconds();
        long startNanos = System.nanoTime();
        LoadCallers.Outcome heavy = routed.run(HEAVY_CONCURRENCY, TURNS * TURN_SECONDS);
        double seconds = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        double cpu = processorSeconds() - cpuBefore;
        String page = render(directly, throughGateways, heavy, seconds, cpu);
        Files.createDirectories(output.getParent());
        Files.writeString(output, page);
        System.out.print(page);
    }

    /**
     * Writes the page.
     *
     * @param directly What direct calls measured.
     * @param routed What routed calls measured.
     * @param heavy What was measured under load.
     * @param seconds The length of the load in seconds.
     * @param cpu The processor time of the gateways in seconds.
     * @return The page.
     */
    private String render(
            LoadCallers.Outcome directly,
            LoadCallers.Outcome routed,
            LoadCallers.Outcome heavy,
            double seconds,
            double cpu) {
        StringBuilder text = new StringBuilder();
        text.append("# Load over real sockets\n\n")
                .append("Generated by `bin/bench load`: ")
                .append(gateways.size())
                .append(" gateways and ")
                .append(engines.size())
                .append(" engine stand-ins, each a process of its own, on one machine over loopback, with other\n")
                .append("programs running meanwhile. Direct and routed calls take turns in the same run (")
                .append(TURNS)
                .append(" turns of ")
                .append(TURN_SECONDS)
                .append(" s each, ")
                .append(LIGHT_CONCURRENCY)
                .append(" in flight).\n\n| time to first token | median ms | 99th percentile ms | answers | failed |\n")
                .append("|---|---|---|---|---|\n");
        row(text, "engine called directly", directly);
        row(text, "through a gateway", routed);
        text.append(String.format(
                Locale.ROOT,
                "| added | %.2f | %.2f | | |%n%n",
                percentile(routed.firstToken(), 50) - percentile(directly.firstToken(), 50),
                percentile(routed.firstToken(), 99) - percentile(directly.firstToken(), 99)));
        text.append(String.format(
                Locale.ROOT,
                "With %d in flight for %.1f s: %.0f answers a second (%d failed or refused), %.2f cores used by all"
                        + " gateways,%n%.0f answers a second for each core, first token after %.1f ms in the median and"
                        + " %.1f ms at the 99th%npercentile.%n",
                HEAVY_CONCURRENCY,
                seconds,
                heavy.answered() / seconds,
                heavy.failed(),
                cpu / seconds,
                heavy.answered() / cpu,
                percentile(heavy.firstToken(), 50),
                percentile(heavy.firstToken(), 99)));
        text.append('\n').append(MachineLoad.describe()).append('\n');
        return text.toString();
    }

    /**
     * Writes a row.
     *
     * @param text The page.
     * @param name The name of the row.
     * @param outcome The figures.
     */
    private static void row(StringBuilder text, String name, LoadCallers.Outcome outcome) {
        text.append(String.format(
                Locale.ROOT,
                "| %s | %.2f | %.2f | %d | %d |%n",
                name,
                percentile(outcome.firstToken(), 50),
                percentile(outcome.firstToken(), 99),
                outcome.answered(),
                outcome.failed()));
    }

    /**
     * Returns a percentile.
     *
     * @param micros The times in microseconds.
     * @param percentile The percentile.
     * @return The time in milliseconds.
     */
    private static double percentile(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /**
     * Reads the processor time of the gateways.
     *
     * @return The time in seconds.
     * @throws IOException If the process table can't be read.
     */
    private double processorSeconds() throws IOException {
        double ticks = 0;
        for (long process : processes) {
            String line = Files.readString(Path.of("/proc", String.valueOf(process), "stat"));
            String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ");
            ticks += Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[USER_TIME + 1]);
        }
        return ticks / TICKS_PER_SECOND;
    }
}
