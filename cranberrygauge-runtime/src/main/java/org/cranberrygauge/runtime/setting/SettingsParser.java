package org.cranberrygauge.runtime.setting;

import com.beust.jcommander.IDefaultProvider;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Locale;
import java.util.Map;

/**
 * Reads settings from flags, falling back to environment variables and then to defaults.
 *
 * <p>The environment variable of a flag is its name in upper case after a prefix: for --platform-address, it is
 * CRANBERRYGAUGE_PLATFORM_ADDRESS. Immutable and safe for use by several threads.
 */
public final class SettingsParser {

    /** The prefix of environment variables. */
    public static final String ENVIRONMENT_PREFIX = "CRANBERRYGAUGE_";

    /** The exit status of a program with an invalid or missing setting. */
    public static final int EXIT_STATUS = 2;

    private final String program;

    private final Map<String, String> environment;

    public SettingsParser(String program, Map<String, String> environment) {
        this.program = program;
        this.environment = Map.copyOf(environment);
    }

    /**
     * Reads the settings into an object with JCommander annotations.
     *
     * @return The parser, which offers the usage text and the parsed command.
     * @throws SettingException If a setting is invalid or missing.
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
     * Parses a command line with a prepared parser.
     *
     * @throws SettingException If a setting is invalid or missing.
     */
    public void parse(JCommander commander, String... arguments) throws SettingException {
        try {
            commander.parse(arguments);
        } catch (ParameterException exception) {
            throw new SettingException(program + ": " + oneLine(exception.getMessage()));
        }
    }

    /** Returns a default provider that reads environment variables. */
    public IDefaultProvider environmentProvider() {
        return option -> environment.get(variableOf(option));
    }

    /** Returns the environment variable of a flag, such as --platform-address. */
    public static String variableOf(String option) {
        String name = option.startsWith("--") ? option.substring(2) : option;
        return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /** Joins the lines of a message. */
    private static String oneLine(String message) {
        return message == null ? "invalid settings" : message.replaceAll("\\s*\\R\\s*", "; ");
    }
}
