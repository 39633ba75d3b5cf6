package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.util.List;
import java.util.function.Function;
import org.cranberrygauge.decision.edit.ConfigurationEdit;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Adds, changes and removes service classes.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Adds, changes or removes the service class NAME")
public final class ClassCommand implements Command {

    /** The settings of the change. */
    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    /** The tier. */
    @Parameter(names = "--tier", description = "Tier from 0, the highest, to 7")
    private Integer tier;

    /** The guaranteed share. */
    @Parameter(names = "--guaranteed-share", description = "Share of starts that it always gets, above 0 up to 1")
    private Double guaranteedShare;

    /** The target for the first token. */
    @Parameter(names = "--first-token-millis", description = "Target for the time to the first token, milliseconds")
    private Long firstTokenMillis;

    /** The target between tokens. */
    @Parameter(names = "--between-tokens-millis", description = "Target for the time between tokens, milliseconds")
    private Long betweenTokensMillis;

    /** The longest wait. */
    @Parameter(names = "--longest-wait-millis", description = "Longest time in the queue, milliseconds")
    private Long longestWaitMillis;

    /** The limit of the queue. */
    @Parameter(names = "--queue-limit", description = "Number of requests that may wait on one gateway")
    private Integer queueLimit;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String name = change.word(1, "NAME");
        return change.change((action, before) -> edit(action, name, before), output);
    }

    /**
     * Works out the edit.
     *
     * @param action What to do.
     * @param name The name.
     * @param before The configuration in force.
     * @return The edit.
     * @throws CranberrygaugeException If a setting is missing.
     */
    private ConfigurationEdit edit(ChangeSettings.Action action, String name, Configuration before)
            throws CranberrygaugeException {
        if (action == ChangeSettings.Action.REMOVE) {
            return new ConfigurationEdit.RemoveClass(name);
        }
        ServiceClass inForce = before.serviceClass(name).orElse(null);
        return new ConfigurationEdit.PutClass(
                action.mode(),
                new ServiceClass(
                        name,
                        pick(tier, inForce, ServiceClass::tier, "--tier"),
                        pick(guaranteedShare, inForce, ServiceClass::guaranteedShare, "--guaranteed-share"),
                        pick(firstTokenMillis, inForce, ServiceClass::firstTokenTargetMillis, "--first-token-millis"),
                        pick(
                                betweenTokensMillis,
                                inForce,
                                ServiceClass::betweenTokensTargetMillis,
                                "--between-tokens-millis"),
                        pick(longestWaitMillis, inForce, ServiceClass::longestWaitMillis, "--longest-wait-millis"),
                        pick(queueLimit, inForce, ServiceClass::queueLimit, "--queue-limit")));
    }

    /**
     * Picks the value of a setting, or the one in force.
     *
     * @param value The value of the setting, or null.
     * @param inForce The class in force, or null.
     * @param read Reads the value in force.
     * @param flag The flag.
     * @param <T> The type.
     * @return The value.
     * @throws CranberrygaugeException If there is neither.
     */
    private static <T> T pick(T value, ServiceClass inForce, Function<ServiceClass, T> read, String flag)
            throws CranberrygaugeException {
        return ChangeSettings.or(value, inForce == null ? null : read.apply(inForce), flag);
    }

    @Override
    public List<String> examples() {
        return List.of(
                "class change legend-draft --first-token-millis 1200 --platform-address 10.0.0.1:7000 --operator ana",
                "class remove archive-check --platform-address 10.0.0.1:7000 --operator ana");
    }
}
