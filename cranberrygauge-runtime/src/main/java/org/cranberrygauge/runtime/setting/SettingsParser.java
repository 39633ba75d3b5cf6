package org.cranberrygauge.runtime.setting;

import com.beust.jcommander.IDefaultProvider;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Locale;
import java.util.Map;

/**
 * Reads settings from flags, else from environment variables, else from defaults.
 *
 * <p>The variable of a flag is its name in upper case after a prefix, so that --platform-address is
 * CRANBERRYGAUGE_PLATFORM_ADDRESS. Immutable and safe for use by several threads.
 */
public final class SettingsParser {

    /** The prefix of environment variables. */
    public static final String ENVIRONMENT_PREFIX = "CRANBERRYGAUGE_";

    /** The exit status after a wrong or missing setting. */
    public static final int EXIT_STATUS = 2;

    /** The name of the program. */
    private final String program;

    /** The environment variables. */
    private final Map<String, String> environment;

    /**
     * Creates a parser.
     *
     * @param program The name of the program.
     * @param environment The environment variables.
     */
    public SettingsParser(String program, Map<String, String> environment) {
        this.program = program;
        this.environment = Map.copyOf(environment);
    }

    /**
     * Reads the settings into an object with JCommander annotations.
     *
     * @param settings The object.
     * @param arguments The command line.
     * @return The parser, for its usage text and its parsed command.
     * @throws SettingException If a setting is wrong or missing.
     */
    public JCommander parse(Object settings, String... arguments) throws SettingException {
        JCommander commander = JCommander.newBuilder()
                .programName(program)
                .addObject(settings)
                .defaultProvider(environmentProvider())
                .build();
        parse(commander, arguments);
        return commander;
    }

    /**
     * Reads a command line with a prepared parser.
     *
     * @param commander The prepared parser.
     * @param arguments The command line.
     * @throws SettingException If a setting is wrong or missing.
     */
    public void parse(JCommander commander, String... arguments) throws SettingException {
        try {
            commander.parse(arguments);
        } catch (ParameterException exception) {
            throw new SettingException(program + ": " + oneLine(exception.getMessage()));
        }
    }

    /**
     * Returns the provider that reads environment variables.
     *
     * @return The provider.
     */
    public IDefaultProvider environmentProvider() {
        return option -> environment.get(variableOf(option));
    }

    /**
     * Returns the environment variable of a flag.
     *
     * @param option The flag, such as --platform-address.
     * @return The name of the variable.
     */
    public static String variableOf(String option) {
        String name = option.startsWith("--") ? option.substring(2) : option;
        return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /**
     * Folds a message into one line.
     *
     * @param message The message.
     * @return The line.
     */
    private static String oneLine(String message) {
        return message == null ? "unreadable settings" : message.replaceAll("\\s*\\R\\s*", "; ");
    }
}
