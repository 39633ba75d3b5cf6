package org.cranberrygauge.operator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.operator.command.ApplyCommand;
import org.cranberrygauge.operator.command.BackendCommand;
import org.cranberrygauge.operator.command.CheckCommand;
import org.cranberrygauge.operator.command.ClassCommand;
import org.cranberrygauge.operator.command.Command;
import org.cranberrygauge.operator.command.CustomerCommand;
import org.cranberrygauge.operator.command.ExitStatus;
import org.cranberrygauge.operator.command.ExplainCommand;
import org.cranberrygauge.operator.command.GenerateCommand;
import org.cranberrygauge.operator.command.HistoryCommand;
import org.cranberrygauge.operator.command.KeyCommand;
import org.cranberrygauge.operator.command.PlanCommand;
import org.cranberrygauge.operator.command.QuestionnaireCommand;
import org.cranberrygauge.operator.command.ScheduleCommand;
import org.cranberrygauge.operator.command.StatusCommand;
import org.cranberrygauge.operator.command.UsageCommand;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.setting.SettingsParser;

/** Entry point of the operators' command line. */
public final class OperatorMain {

    private static final String NAME = "cranberrygauge";

    private static final String HELP = "--help";

    private OperatorMain() {}

    /**
     * Runs a command and exits with its status.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments).number());
    }

    static ExitStatus run(String... arguments) {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("questionnaire", new QuestionnaireCommand());
        commands.put("check", new CheckCommand());
        commands.put("generate", new GenerateCommand());
        commands.put("plan", new PlanCommand());
        commands.put("apply", new ApplyCommand());
        commands.put("customer", new CustomerCommand());
        commands.put("key", new KeyCommand());
        commands.put("class", new ClassCommand());
        commands.put("schedule", new ScheduleCommand());
        commands.put("backend", new BackendCommand());
        commands.put("status", new StatusCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("usage", new UsageCommand());
        commands.put("history", new HistoryCommand());
        GeneralSettings general = new GeneralSettings();
        SettingsParser parser = new SettingsParser(NAME, System.getenv());
        JCommander.Builder builder = JCommander.newBuilder()
                .programName(NAME)
                .addObject(general)
                .defaultProvider(parser.environmentProvider());
        commands.forEach(builder::addCommand);
        JCommander commander = builder.build();
        if (arguments.length > 1 && List.of(arguments).contains(HELP) && commands.containsKey(arguments[0])) {
            System.out.print(CommandHelp.of(NAME, commander, arguments[0], commands.get(arguments[0])));
            return ExitStatus.DONE;
        }
        try {
            parser.parse(commander, arguments);
        } catch (SettingException exception) {
            System.err.println(exception.getMessage());
            return ExitStatus.USAGE;
        }
        if (general.version) {
            System.out.println(NAME + " " + Program.version());
            return ExitStatus.DONE;
        }
        if (general.help || commander.getParsedCommand() == null) {
            System.out.print(CommandHelp.overview(NAME, commander));
            return general.help ? ExitStatus.DONE : ExitStatus.USAGE;
        }
        return run(commands.get(commander.getParsedCommand()));
    }

    /** Runs a command and prints the message of its error, if any. */
    private static ExitStatus run(Command command) {
        try {
            return command.run(System.out);
        } catch (CranberrygaugeException exception) {
            System.err.println(NAME + ": " + exception.getMessage());
            return statusOf(exception.code());
        }
    }

    private static ExitStatus statusOf(ErrorCode code) {
        return switch (code) {
            case INVALID_CONFIGURATION, INVALID_REQUEST -> ExitStatus.INVALID;
            case CONFIGURATION_CONFLICT -> ExitStatus.CONFLICT;
            case LOG_UNAVAILABLE, PLATFORM_UNAVAILABLE -> ExitStatus.OUTAGE;
            default -> ExitStatus.INTERNAL;
        };
    }

    /** The settings that need no command. */
    private static final class GeneralSettings {

        @Parameter(names = "--help", help = true, description = "Prints this help and exits")
        private boolean help;

        @Parameter(names = "--version", help = true, description = "Prints the version and exits")
        private boolean version;
    }
}
