package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cranberrygauge.decision.configuration.ConfigurationProblem;
import org.cranberrygauge.decision.configuration.ConfigurationValidator;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.VersionedConfiguration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.operator.plan.ConfigurationDifferences;
import org.cranberrygauge.operator.plan.Difference;
import org.cranberrygauge.protocol.JsonCodec;

/**
 * Shows the differences between a configuration and the one in force.
 *
 * <p>Changes nothing. Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Shows the differences between a configuration and the one in force")
public final class PlanCommand implements Command {

    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    @Parameter(names = "--configuration", required = true, description = "File with the configuration, as JSON")
    private Path configurationFile;

    @Parameter(names = "--json", description = "Prints JSON")
    private boolean json;

    /**
     * The plan, as printed in JSON.
     *
     * @param baseVersion The version in force.
     * @param problems The problems for which the configuration would be rejected.
     */
    record Plan(long baseVersion, List<Difference> differences, List<ConfigurationProblem> problems) {}

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            Configuration after = JsonCodec.read(Files.readString(configurationFile), Configuration.class);
            VersionedConfiguration inForce =
                    platform.open("plan").readToEnd().configuration().current();
            Plan plan = new Plan(
                    inForce.version(),
                    ConfigurationDifferences.between(inForce.configuration(), after),
                    ConfigurationValidator.problems(after));
            if (json) {
                output.println(JsonCodec.write(plan));
            } else {
                print(plan, output);
            }
            return plan.problems().isEmpty() ? ExitStatus.DONE : ExitStatus.INVALID;
        } catch (IOException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_CONFIGURATION, configurationFile + ": can't be read: " + exception, exception);
        } finally {
            platform.close();
        }
    }

    private void print(Plan plan, PrintStream output) {
        plan.differences().forEach(difference -> output.println(difference.line()));
        plan.problems().forEach(problem -> output.println(configurationFile + ": " + problem));
        if (plan.differences().isEmpty()) {
            output.println("no difference to version " + plan.baseVersion());
            return;
        }
        output.println(plan.differences().size() + " differences to version " + plan.baseVersion()
                + "; to apply: apply --base-version " + plan.baseVersion() + " --configuration " + configurationFile);
    }

    @Override
    public List<String> examples() {
        return List.of("plan --platform-address 10.0.0.1:7000 --configuration next.json");
    }
}
