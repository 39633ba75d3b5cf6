package org.cranberrygauge.controller;

import java.util.Optional;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;

/** Entry point of the controller. */
public final class ControllerMain {

    private static final String NAME = "cranberrygauge-controller";

    private ControllerMain() {}

    /**
     * Runs a controller until a signal terminates it.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        ControllerSettings settings = new ControllerSettings();
        Optional<Integer> status = Program.readSettings(NAME, settings, arguments);
        if (status.isPresent()) {
            System.exit(status.get());
        }
        Controller controller = new Controller(settings, EventLog.Tinylog.INSTANCE);
        controller
                .start()
                .onSuccess(started -> Program.onTermination(() -> {
                    controller.stop();
                    return 0;
                }))
                .onFailure(failure -> {
                    EventLog.Tinylog.INSTANCE.emit(
                            new ControllerEvents.ControllerStartFailed(String.valueOf(failure.getMessage())));
                    System.exit(1);
                });
    }
}
