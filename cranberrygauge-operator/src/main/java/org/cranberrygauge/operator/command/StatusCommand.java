package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.util.List;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.operator.log.LogSession;
import org.cranberrygauge.operator.view.OutageView;
import org.cranberrygauge.operator.view.StatusView;
import org.cranberrygauge.protocol.JsonCodec;

/**
 * Shows the status of the system on one screen.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(
        commandDescription = "Shows attainment by class, the worst-served customer, cost, the lease holder and"
                + " the configuration version of each gateway")
public final class StatusCommand implements Command {

    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    @Parameter(names = "--json", description = "Prints JSON")
    private boolean json;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        LogSession session = platform.open("status");
        try {
            StatusView view = StatusView.read(
                    session.readToEnd(), platform.operations(), platform.platform(), platform.timeoutMillis());
            if (json) {
                output.println(JsonCodec.write(view));
            } else {
                view.lines().forEach(output::println);
            }
            return ExitStatus.DONE;
        } catch (CranberrygaugeException exception) {
            OutageView view = OutageView.read(exception.getMessage(), platform.operations());
            if (json) {
                output.println(JsonCodec.write(view));
            } else {
                view.lines().forEach(output::println);
            }
            return ExitStatus.OUTAGE;
        } finally {
            platform.close();
        }
    }

    @Override
    public List<String> examples() {
        return List.of(
                "status --platform-address 10.0.0.1:7000 --operations-addresses 10.0.0.2:9000,10.0.0.3:9000",
                "status --platform-address 10.0.0.1:7000 --json");
    }
}
