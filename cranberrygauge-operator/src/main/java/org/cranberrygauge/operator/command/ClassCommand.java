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

    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    @Parameter(names = "--tier", description = "Tier from 0, the highest, to 7")
    private Integer tier;

    @Parameter(names = "--guaranteed-share", description = "Share of request starts reserved for it, above 0 up to 1")
    private Double guaranteedShare;

    @Parameter(names = "--first-token-millis", description = "Target for the time to the first token, milliseconds")
    private Long firstTokenMillis;

    @Parameter(names = "--between-tokens-millis", description = "Target for the time between tokens, milliseconds")
    private Long betweenTokensMillis;

    @Parameter(names = "--longest-wait-millis", description = "Maximum time in the queue, milliseconds")
    private Long longestWaitMillis;

    @Parameter(names = "--queue-limit", description = "Number of requests that may be queued on one gateway")
    private Integer queueLimit;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String name = change.argument(1, "NAME");
        return change.apply((action, before) -> edit(action, name, before), output);
    }

    private ConfigurationEdit edit(ChangeSettings.Action action, String name, Configuration before)
            throws CranberrygaugeException {
        if (action == ChangeSettings.Action.REMOVE) {
            return new ConfigurationEdit.RemoveClass(name);
        }
        ServiceClass current = before.serviceClass(name).orElse(null);
        return new ConfigurationEdit.PutClass(
                action.mode(),
                new ServiceClass(
                        name,
                        valueOrCurrent(tier, current, ServiceClass::tier, "--tier"),
                        valueOrCurrent(guaranteedShare, current, ServiceClass::guaranteedShare, "--guaranteed-share"),
                        valueOrCurrent(
                                firstTokenMillis,
                                current,
                                ServiceClass::firstTokenTargetMillis,
                                "--first-token-millis"),
                        valueOrCurrent(
                                betweenTokensMillis,
                                current,
                                ServiceClass::betweenTokensTargetMillis,
                                "--between-tokens-millis"),
                        valueOrCurrent(
                                longestWaitMillis, current, ServiceClass::longestWaitMillis, "--longest-wait-millis"),
                        valueOrCurrent(queueLimit, current, ServiceClass::queueLimit, "--queue-limit")));
    }

    private static <T> T valueOrCurrent(T value, ServiceClass current, Function<ServiceClass, T> read, String flag)
            throws CranberrygaugeException {
        return ChangeSettings.valueOrCurrent(value, current == null ? null : read.apply(current), flag);
    }

    @Override
    public List<String> examples() {
        return List.of(
                "class change legend-draft --first-token-millis 1200 --platform-address 10.0.0.1:7000 --operator ana",
                "class remove archive-check --platform-address 10.0.0.1:7000 --operator ana");
    }
}
