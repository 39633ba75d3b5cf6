package org.cranberrygauge.operator;

import com.beust.jcommander.JCommander;
import org.cranberrygauge.operator.command.Command;
import org.cranberrygauge.operator.command.ExitStatus;

/**
 * Writes the help of the command line.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CommandHelp {

    private CommandHelp() {}

    /** Writes the help of one command, with its settings and examples. */
    static String of(String program, JCommander commander, String name, Command command) {
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(name, text);
        text.append("\nExamples:\n");
        command.examples()
                .forEach(example -> text.append("  ")
                        .append(program)
                        .append(' ')
                        .append(example)
                        .append('\n'));
        return text.toString();
    }

    /** Writes the list of commands and exit statuses. */
    static String overview(String program, JCommander commander) {
        StringBuilder text = new StringBuilder("Usage: " + program + " COMMAND [SETTINGS]\n\nCommands:\n");
        commander
                .getCommands()
                .keySet()
                .forEach(name -> text.append(String.format(
                        "  %-14s %s%n", name, commander.getUsageFormatter().getCommandDescription(name))));
        text.append(
                "\nEach command takes --help and shows examples. Each flag can be set by an environment variable:\n");
        text.append("--platform-address is CRANBERRYGAUGE_PLATFORM_ADDRESS.\n\nExit status:\n");
        for (ExitStatus status : ExitStatus.values()) {
            text.append(String.format("  %d  %s%n", status.number(), status.meaning()));
        }
        return text.toString();
    }
}
