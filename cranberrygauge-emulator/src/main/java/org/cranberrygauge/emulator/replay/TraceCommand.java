package org.cranberrygauge.emulator.replay;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.runtime.setting.SettingsParser;

/**
 * Writes a trace that is determined by its seed.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Writes a trace for a configuration; the same seed gives the same trace")
public final class TraceCommand {

    @Parameter(names = "--configuration", required = true, description = "File with the configuration, as JSON")
    private Path configurationFile;

    @Parameter(names = "--seed", description = "Seed of the trace")
    private long seed = 1;

    @Parameter(names = "--seconds", description = "Length of the trace in seconds")
    private int seconds = 10;

    @Parameter(names = "--requests-per-second", description = "Mean number of requests per second")
    private double requestsPerSecond = 20;

    @Parameter(
            names = "--profile",
            description = "Profile of docs/TRACES.md, whose length and rate it sets; without one, plain mixed traffic")
    private String profile = "";

    @Parameter(names = "--faults-output", description = "File for the faults, one per line as JSON")
    private Path faultsOutput;

    @Parameter(names = "--output", required = true, description = "File for the trace, one request per line as JSON")
    private Path output;

    /** Writes the trace and returns the exit status. */
    public int run() {
        try {
            Configuration configuration = JsonCodec.read(Files.readString(configurationFile), Configuration.class);
            if (profile.isEmpty()) {
                write(output, new TraceGenerator(configuration, new Random(seed)).generate(seconds, requestsPerSecond));
                return 0;
            }
            Trace trace = new ProfileGenerator(configuration).generate(TraceProfile.parse(profile), seed);
            write(output, trace.requests());
            if (faultsOutput != null) {
                write(faultsOutput, trace.faults());
            }
            return 0;
        } catch (IllegalArgumentException exception) {
            System.err.println("trace: --profile is \"" + profile + "\"; allowed is one of "
                    + Arrays.stream(TraceProfile.values())
                            .map(TraceProfile::text)
                            .toList());
            return SettingsParser.EXIT_STATUS;
        } catch (IOException | CranberrygaugeException exception) {
            System.err.println("trace: " + exception.getMessage());
            return SettingsParser.EXIT_STATUS;
        }
    }

    /** Writes each object as one line of JSON. */
    private static void write(Path file, List<?> lines) throws IOException {
        Files.write(file, lines.stream().map(JsonCodec::write).toList());
    }
}
