package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.operator.log.ChangeApplier;
import org.cranberrygauge.operator.log.LogSession;
import org.cranberrygauge.protocol.JsonCodec;

/**
 * Puts a configuration into force.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Puts a configuration into force; prints accepted once every gateway has confirmed it")
public final class ApplyCommand implements Command {

    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    @Parameter(names = "--configuration", required = true, description = "File with the configuration, as JSON")
    private Path configurationFile;

    @Parameter(
            names = "--base-version",
            description = "Version that the change is based on; defaults to the version in force")
    private long baseVersion = -1;

    @Parameter(names = "--operator", description = "Name of the operator")
    private String operator = System.getProperty("user.name");

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            Configuration configuration = JsonCodec.read(Files.readString(configurationFile), Configuration.class);
            LogSession session = platform.open(operator);
            ChangeApplier applier = new ChangeApplier(session, platform.timeoutMillis());
            long base = baseVersion >= 0 ? baseVersion : applier.currentVersion();
            return applier.apply(UUID.randomUUID().toString(), operator, base, configuration, output);
        } catch (IOException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_CONFIGURATION, configurationFile + ": can't be read: " + exception, exception);
        } finally {
            platform.close();
        }
    }

    @Override
    public List<String> examples() {
        return List.of("apply --platform-address 10.0.0.1:7000 --configuration configuration.json --operator ana");
    }
}
