package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.util.List;
import java.util.UUID;
import org.cranberrygauge.decision.edit.ConfigurationEdit;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.VersionedConfiguration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.operator.log.ChangeApplier;
import org.cranberrygauge.operator.log.LogSession;
import org.cranberrygauge.operator.plan.ConfigurationDifferences;
import org.cranberrygauge.operator.plan.Difference;

/**
 * Settings of commands that change one item of the configuration in force.
 *
 * <p>Invariants: the change is based on the version that it was computed from, so that a concurrent change is a
 * conflict. Filled in by the settings parser, and used by one thread.
 */
public final class ChangeSettings {

    @Parameter(description = "add|change|remove NAME", required = true)
    private List<String> arguments;

    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    @Parameter(names = "--operator", description = "Name of the operator, recorded in the log")
    private String operator = System.getProperty("user.name");

    @Parameter(names = "--dry-run", description = "Shows what would change, and changes nothing")
    private boolean dryRun;

    /** What a command does to an item. */
    enum Action {
        /** The item must be new. */
        ADD,
        /** The item must exist. */
        CHANGE,
        /** The item is removed. */
        REMOVE;

        /** Returns the mode of an edit that adds or changes an item. */
        ConfigurationEdit.Mode mode() {
            return this == ADD ? ConfigurationEdit.Mode.ADD : ConfigurationEdit.Mode.CHANGE;
        }
    }

    /** Computes an edit of the configuration in force. */
    interface EditSource {

        /**
         * Computes the edit.
         *
         * @param before The configuration in force.
         * @throws CranberrygaugeException If the settings do not fit the action or the configuration.
         */
        ConfigurationEdit edit(Action action, Configuration before) throws CranberrygaugeException;
    }

    /**
     * Returns one of the arguments.
     *
     * @param index The index, from 1 for the first name.
     * @param placeholder The placeholder of the argument in the help.
     * @throws CranberrygaugeException If the argument is missing.
     */
    String argument(int index, String placeholder) throws CranberrygaugeException {
        if (arguments.size() <= index) {
            throw invalid(placeholder + " is missing; expected add|change|remove and " + placeholder);
        }
        return arguments.get(index);
    }

    /**
     * Returns the value of a setting, or else the value in force.
     *
     * @param value The value of the setting, or null if it is not set.
     * @param current The value in force, or null if there is none.
     * @throws CranberrygaugeException If both are null.
     */
    static <T> T valueOrCurrent(T value, T current, String flag) throws CranberrygaugeException {
        if (value == null && current == null) {
            throw invalid(flag + " is missing; it is required for add");
        }
        return value == null ? current : value;
    }

    static CranberrygaugeException invalid(String message) {
        return new CranberrygaugeException(ErrorCode.INVALID_REQUEST, message);
    }

    /**
     * Changes the configuration in force, or only prints the differences of a dry run.
     *
     * @param output Receives the differences and the outcome.
     * @return How the change ended.
     * @throws CranberrygaugeException If the edit is rejected or the log does not answer.
     */
    ExitStatus apply(EditSource source, PrintStream output) throws CranberrygaugeException {
        Action action = action();
        try {
            LogSession session = platform.open(operator);
            VersionedConfiguration inForce = session.readToEnd().configuration().current();
            Configuration after = source.edit(action, inForce.configuration()).apply(inForce.configuration());
            List<Difference> differences = ConfigurationDifferences.between(inForce.configuration(), after);
            differences.forEach(difference -> output.println(difference.line()));
            if (dryRun || differences.isEmpty()) {
                output.println(dryRun ? "dry run; nothing was changed" : "no difference; nothing was changed");
                return ExitStatus.DONE;
            }
            return new ChangeApplier(session, platform.timeoutMillis())
                    .apply(UUID.randomUUID().toString(), operator, inForce.version(), after, output);
        } finally {
            platform.close();
        }
    }

    private Action action() throws CranberrygaugeException {
        return switch (arguments.get(0)) {
            case "add" -> Action.ADD;
            case "change" -> Action.CHANGE;
            case "remove" -> Action.REMOVE;
            default ->
                throw invalid("\"" + arguments.get(0) + "\" is not an action; allowed are add, change and remove");
        };
    }
}
