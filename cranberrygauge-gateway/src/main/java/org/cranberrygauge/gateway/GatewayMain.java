package org.cranberrygauge.gateway;

import java.util.Optional;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;

/**
 * The entry point of the gateway program.
 *
 * <p>Stateless.
 */
public final class GatewayMain {

    private static final String NAME = "cranberrygauge-gateway";

    private GatewayMain() {}

    /** Runs a gateway until the process is terminated by a signal. */
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
