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
 * Shows the closed usage windows.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Shows the closed usage windows, and when the platform acknowledged each")
public final class UsageCommand implements Command {

    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    @Parameter(names = "--json", description = "Prints JSON")
    private boolean json;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            LogSession session = platform.open("usage");
            session.readToEnd();
            List<LogHistory.Window> windows = session.history().windows();
            if (json) {
                output.println(JsonCodec.write(windows));
            } else {
                windows.forEach(window -> print(window, output));
            }
            return ExitStatus.DONE;
        } finally {
            platform.close();
        }
    }

    private static void print(LogHistory.Window window, PrintStream output) {
        String reported = window.reportedAtMillis() == 0
                ? "not yet acknowledged"
                : "acknowledged " + Instant.ofEpochMilli(window.reportedAtMillis());
        output.println("window " + window.windowId() + " closed " + Instant.ofEpochMilli(window.closedAtMillis()) + ", "
                + reported);
        for (LogHistory.UsageLine line : window.lines()) {
            output.println("  " + line.customer() + " " + line.className() + ": " + line.calls() + " calls, "
                    + line.promptTokens() + " prompt tokens, " + line.outputTokens() + " output tokens");
        }
    }

    @Override
    public List<String> examples() {
        return List.of("usage --platform-address 10.0.0.1:7000 --json");
    }
}
