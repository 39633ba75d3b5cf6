package org.cranberrygauge.runtime.lifecycle;

import com.beust.jcommander.JCommander;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntSupplier;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.setting.ProcessSettings;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.setting.SettingsParser;

/**
 * Functions shared by the entry points of long-running programs.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Program {

    /** The version that is reported if the JAR does not state one. */
    private static final String UNKNOWN_VERSION = "development";

    /** The time within which connections are closed at the end of a process, in milliseconds. */
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private Program() {}

    /**
     * Reads the settings of a program and handles --help, --version and invalid settings.
     *
     * @param name The name of the program.
     * @param settings The settings to populate.
     * @param arguments The command line.
     * @return The status to exit with, or nothing if the program should run.
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
     * Runs an orderly shutdown when the process is terminated, and exits with the status that it returns. The shutdown includes
     * {@link #close(Vertx)}.
     */
    public static void onTermination(IntSupplier stop) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(stop.getAsInt()), "planned-stop"));
    }

    /**
     * Closes all connections and ends the event loops, and waits for that for a bounded time. While event loops still wait for
     * input, the exit of a process takes some hundred milliseconds, in which nothing answers its open connections.
     */
    public static void close(Vertx vertx) {
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException exception) {
            System.err.println("connections were not closed in order: " + exception);
        }
    }

    /** Emits each failure that no caller handles as an event instead of printing a multi-line stack trace. */
    public static void reportUnhandled(Vertx vertx, EventLog events) {
        vertx.exceptionHandler(failure -> events.emit(new LifecycleEvents.UnhandledFailure(
                failure.getClass().getSimpleName(), String.valueOf(failure.getMessage()))));
    }

    /** Returns the version of the program. */
    public static String version() {
        String version = Program.class.getPackage().getImplementationVersion();
        return version == null ? UNKNOWN_VERSION : version;
    }

    /**
     * Returns a name for this run of a program that is unique for the host.
     *
     * @param hostName The host on which the program runs.
     * @param wallMillis The time in milliseconds since the epoch.
     */
    public static String incarnation(String hostName, long wallMillis) {
        return hostName + "/" + wallMillis + "-" + ProcessHandle.current().pid();
    }
}
