package org.cranberrygauge.emulator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cranberrygauge.emulator.replay.ReplayCommand;
import org.cranberrygauge.emulator.replay.TraceCommand;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.setting.SettingsParser;

/**
 * The entry point of the stand-ins and of the replay.
 *
 * <p>Stateless; each command runs until it is ended, but for the replay, which ends with its report.
 */
public final class EmulatorMain {

    /** The name of the program. */
    private static final String NAME = "cranberrygauge-emulator";

    /** Prevents instances. */
    private EmulatorMain() {}

    /**
     * Runs a command.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        int status = run(arguments);
        if (status >= 0) {
            System.exit(status);
        }
    }

    /**
     * Runs a command.
     *
     * @param arguments The command line.
     * @return The exit status, or -1 while a stand-in goes on running.
     */
    private static int run(String... arguments) {
        Map<String, EmulatorSettings> standIns = new LinkedHashMap<>();
        standIns.put("platform", new EmulatorSettings.EmulatedPlatformSettings());
        standIns.put("engine", new EmulatorSettings.EngineSettings());
        standIns.put("service", new EmulatorSettings.ServiceSettings());
        ReplayCommand replay = new ReplayCommand();
        TraceCommand trace = new TraceCommand();
        GeneralSettings general = new GeneralSettings();
        SettingsParser parser = new SettingsParser(NAME, System.getenv());
        JCommander.Builder builder = JCommander.newBuilder()
                .programName(NAME)
                .addObject(general)
                .defaultProvider(parser.environmentProvider());
        standIns.forEach(builder::addCommand);
        JCommander commander =
                builder.addCommand("replay", replay).addCommand("trace", trace).build();
        try {
            parser.parse(commander, arguments);
        } catch (SettingException exception) {
            System.err.println(exception.getMessage());
            return SettingsParser.EXIT_STATUS;
        }
        if (general.version) {
            System.out.println(NAME + " " + Program.version());
            return 0;
        }
        String command = commander.getParsedCommand();
        if (general.help || command == null) {
            commander.usage();
            return general.help ? 0 : SettingsParser.EXIT_STATUS;
        }
        if (!standIns.containsKey(command)) {
            return command.equals("replay") ? replay.run() : trace.run();
        }
        start(command, standIns.get(command));
        return -1;
    }

    /**
     * Starts a stand-in.
     *
     * @param kind The kind of stand-in.
     * @param settings The settings.
     */
    private static void start(String kind, EmulatorSettings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        Future<HttpServer> listening = settings.start(vertx);
        listening.onSuccess(
                server -> EventLog.Tinylog.INSTANCE.emit(new EmulatorEvents.Listening(kind, server.actualPort())));
        listening.onFailure(failure -> {
            EventLog.Tinylog.INSTANCE.emit(new EmulatorEvents.StartFailed(kind, String.valueOf(failure.getMessage())));
            System.exit(1);
        });
    }

    /** The settings that need no command. */
    private static final class GeneralSettings {

        /** Whether to print the usage and exit. */
        @Parameter(names = "--help", help = true, description = "Prints this help and exits")
        private boolean help;

        /** Whether to print the version and exit. */
        @Parameter(names = "--version", help = true, description = "Prints the version and exits")
        private boolean version;
    }
}
