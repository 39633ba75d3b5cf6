package org.cranberrygauge.emulator.replay;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.runtime.setting.SettingsParser;

/**
 * Writes a trace that a seed determines.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Writes a trace for a configuration; the same seed gives the same trace")
public final class TraceCommand {

    /** The configuration. */
    @Parameter(names = "--configuration", required = true, description = "File with the configuration, as JSON")
    private Path configurationFile;

    /** The seed. */
    @Parameter(names = "--seed", description = "Seed of the trace")
    private long seed = 1;

    /** The length. */
    @Parameter(names = "--seconds", description = "Length of the trace in seconds")
    private int seconds = 10;

    /** The rate. */
    @Parameter(names = "--requests-per-second", description = "Mean number of requests in a second")
    private double requestsPerSecond = 20;

    /** The file for the trace. */
    @Parameter(names = "--output", required = true, description = "File for the trace, one request a line as JSON")
    private Path output;

    /**
     * Writes the trace.
     *
     * @return The exit status.
     */
    public int run() {
        try {
            Configuration configuration = JsonCodec.read(Files.readString(configurationFile), Configuration.class);
            List<TraceRequest> trace =
                    new TraceGenerator(configuration, new Random(seed)).generate(seconds, requestsPerSecond);
            Files.write(output, trace.stream().map(JsonCodec::write).toList());
            return 0;
        } catch (IOException | CranberrygaugeException exception) {
            System.err.println("trace: " + exception.getMessage());
            return SettingsParser.EXIT_STATUS;
        }
    }
}
