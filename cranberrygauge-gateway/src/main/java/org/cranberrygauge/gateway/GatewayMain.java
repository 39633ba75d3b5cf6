package org.cranberrygauge.gateway;

import java.util.Optional;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;

/**
 * The entry point of the gateway.
 *
 * <p>Stateless.
 */
public final class GatewayMain {

    /** The name of the program. */
    private static final String NAME = "cranberrygauge-gateway";

    /** Prevents instances. */
    private GatewayMain() {}

    /**
     * Runs a gateway until it is told to stop by a signal.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        GatewaySettings settings = new GatewaySettings();
        Optional<Integer> status = Program.readSettings(NAME, settings, arguments);
        if (status.isPresent()) {
            System.exit(status.get());
        }
        Gateway gateway = new Gateway(settings, EventLog.Tinylog.INSTANCE);
        gateway.start()
                .onSuccess(started -> Program.onTermination(() -> gateway.stop() == 0 ? 0 : 1))
                .onFailure(failure -> {
                    EventLog.Tinylog.INSTANCE.emit(
                            new GatewayEvents.GatewayStartFailed(String.valueOf(failure.getMessage())));
                    System.exit(1);
                });
    }
}
