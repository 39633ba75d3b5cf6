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
 * The settings of commands that change one part of the configuration in force.
 *
 * <p>Invariants: the change is based on the version that it was worked out from, so that a racing change is a conflict.
 * Filled in by the settings parser, and used by one thread.
 */
public final class ChangeSettings {

    /** What to do and to what. */
    @Parameter(description = "add|change|remove NAME", required = true)
    private List<String> words;

    /** The settings of the platform. */
    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    /** The name of the operator. */
    @Parameter(names = "--operator", description = "Name of the operator, which the log keeps")
    private String operator = System.getProperty("user.name");

    /** Whether only to show what would change. */
    @Parameter(names = "--dry-run", description = "Shows what would change, and changes nothing")
    private boolean dryRun;

    /** What an operator may do to a part. */
    enum Action {
        /** The part is new. */
        ADD,
        /** The part is there. */
        CHANGE,
        /** The part goes. */
        REMOVE;

        /**
         * Returns the mode of an edit that puts a part.
         *
         * @return The mode.
         */
        ConfigurationEdit.Mode mode() {
            return this == ADD ? ConfigurationEdit.Mode.ADD : ConfigurationEdit.Mode.CHANGE;
        }
    }

    /** Works out an edit from the configuration in force. */
    interface EditSource {

        /**
         * Works out the edit.
         *
         * @param action What to do.
         * @param before The configuration in force.
         * @return The edit.
         * @throws CranberrygaugeException If the settings do not fit.
         */
        ConfigurationEdit edit(Action action, Configuration before) throws CranberrygaugeException;
    }

    /**
     * Returns one of the words.
     *
     * @param index The index, from 1 for the first name.
     * @param what What the word names.
     * @return The word.
     * @throws CranberrygaugeException If it is missing.
     */
    String word(int index, String what) throws CranberrygaugeException {
        if (words.size() <= index) {
            throw invalid(what + " is missing; expected add|change|remove and " + what);
        }
        return words.get(index);
    }

    /**
     * Returns the value of a setting, or the one in force.
     *
     * @param value The value of the setting, or null.
     * @param inForce The value in force, or null.
     * @param flag The flag.
     * @param <T> The type.
     * @return The value.
     * @throws CranberrygaugeException If there is neither.
     */
    static <T> T or(T value, T inForce, String flag) throws CranberrygaugeException {
        if (value == null && inForce == null) {
            throw invalid(flag + " is missing; it is required to add");
        }
        return value == null ? inForce : value;
    }

    /**
     * Builds the error of settings that do not fit.
     *
     * @param message The message.
     * @return The error.
     */
    static CranberrygaugeException invalid(String message) {
        return new CranberrygaugeException(ErrorCode.INVALID_REQUEST, message);
    }

    /**
     * Changes the configuration in force.
     *
     * @param source Works out the edit.
     * @param output Takes what is told.
     * @return How it ended.
     * @throws CranberrygaugeException If the edit does not fit or the log does not answer.
     */
    ExitStatus change(EditSource source, PrintStream output) throws CranberrygaugeException {
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

    /**
     * Reads what to do.
     *
     * @return The action.
     * @throws CranberrygaugeException If it is none.
     */
    private Action action() throws CranberrygaugeException {
        return switch (words.get(0)) {
            case "add" -> Action.ADD;
            case "change" -> Action.CHANGE;
            case "remove" -> Action.REMOVE;
            default -> throw invalid("\"" + words.get(0) + "\" is no action; allowed are add, change and remove");
        };
    }
}
