package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.operator.log.LogHistory;
import org.cranberrygauge.operator.log.LogSession;
import org.cranberrygauge.protocol.JsonCodec;

/**
 * Shows the changes of the configuration.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Shows who changed the configuration: time, offset (the version), operator, verdict")
public final class HistoryCommand implements Command {

    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    @Parameter(names = "--json", description = "Prints JSON")
    private boolean json;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            LogSession session = platform.open("history");
            session.readToEnd();
            List<LogHistory.Change> changes = session.history().changes();
            if (json) {
                output.println(JsonCodec.write(changes));
            } else {
                changes.forEach(change -> output.println(Instant.ofEpochMilli(change.atMillis()) + " version "
                        + change.offset() + " by " + change.operator() + " " + change.verdict() + " change "
                        + change.changeId()));
            }
            return ExitStatus.DONE;
        } finally {
            platform.close();
        }
    }

    @Override
    public List<String> examples() {
        return List.of("history --platform-address 10.0.0.1:7000 --json");
    }
}
