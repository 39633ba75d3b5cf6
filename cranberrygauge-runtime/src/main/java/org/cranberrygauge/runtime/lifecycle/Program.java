package org.cranberrygauge.runtime.lifecycle;

import com.beust.jcommander.JCommander;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.setting.ProcessSettings;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.setting.SettingsParser;

/**
 * What the entry points of long-running programs share.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Program {

    /** The version that is told where the jar states none. */
    private static final String UNKNOWN_VERSION = "development";

    /** Prevents instances. */
    private Program() {}

    /**
     * Reads the settings of a program, and ends it where it shall only print something.
     *
     * @param name The name of the program.
     * @param settings The settings to fill in.
     * @param arguments The command line.
     * @return Whether the program shall run, or the status it shall exit with.
     */
    public static Optional<Integer> readSettings(String name, ProcessSettings settings, String... arguments) {
        try {
            JCommander commander = new SettingsParser(name, System.getenv()).parse(settings, arguments);
            if (settings.help()) {
                commander.usage();
                return Optional.of(0);
            }
            if (settings.version()) {
                System.out.println(name + " " + version());
                return Optional.of(0);
            }
            settings.check();
            return Optional.empty();
        } catch (SettingException exception) {
            String message = exception.getMessage();
            System.err.println(message.startsWith(name + ":") ? message : name + ": " + message);
            return Optional.of(SettingsParser.EXIT_STATUS);
        }
    }

    /**
     * Runs an orderly stop when the process is told to end, and exits with its status.
     *
     * @param stop Stops the program and returns its exit status.
     */
    public static void onTermination(IntSupplier stop) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(stop.getAsInt()), "planned-stop"));
    }

    /**
     * Writes failures that no caller waits for as one event each, in place of a stack trace over many lines.
     *
     * @param vertx The Vert.x instance.
     * @param events The event log.
     */
    public static void reportUnhandled(Vertx vertx, EventLog events) {
        vertx.exceptionHandler(failure -> events.emit(new LifecycleEvents.UnhandledFailure(
                failure.getClass().getSimpleName(), String.valueOf(failure.getMessage()))));
    }

    /**
     * Returns the version of the program.
     *
     * @return The version.
     */
    public static String version() {
        String version = Program.class.getPackage().getImplementationVersion();
        return version == null ? UNKNOWN_VERSION : version;
    }

    /**
     * Names a new incarnation of a program.
     *
     * @param hostName The name of the host.
     * @param wallMillis The present time in milliseconds of the epoch.
     * @return The name of the incarnation, unique for the host.
     */
    public static String incarnation(String hostName, long wallMillis) {
        return hostName + "/" + wallMillis + "-" + ProcessHandle.current().pid();
    }
}
