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
 * Entry point of the emulators and of the replay.
 *
 * <p>Emulators run until the process is terminated; the replay and the generation of traces end by themselves.
 */
public final class EmulatorMain {

    private static final String NAME = "cranberrygauge-emulator";

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
     * @return The exit status, or -1 if an emulator keeps running.
     */
    private static int run(String... arguments) {
        Map<String, EmulatorSettings> emulators = new LinkedHashMap<>();
        emulators.put("platform", new EmulatorSettings.EmulatedPlatformSettings());
        emulators.put("engine", new EmulatorSettings.EngineSettings());
        emulators.put("service", new EmulatorSettings.ServiceSettings());
        ReplayCommand replay = new ReplayCommand();
        TraceCommand trace = new TraceCommand();
        GeneralSettings general = new GeneralSettings();
        SettingsParser parser = new SettingsParser(NAME, System.getenv());
        JCommander.Builder builder = JCommander.newBuilder()
                .programName(NAME)
                .addObject(general)
                .defaultProvider(parser.environmentProvider());
        emulators.forEach(builder::addCommand);
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
        if (!emulators.containsKey(command)) {
            return command.equals("replay") ? replay.run() : trace.run();
        }
        start(command, emulators.get(command));
        return -1;
    }

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

        @Parameter(names = "--help", help = true, description = "Prints this help and exits")
        private boolean help;

        @Parameter(names = "--version", help = true, description = "Prints the version and exits")
        private boolean version;
    }
}
