package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import org.cranberrygauge.decision.membership.GatewayMember;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.operator.log.GatewayStatus;
import org.cranberrygauge.operator.log.LogSession;

/**
 * Shows who is in charge and what is in force.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Shows who is in charge and what is in force on each gateway")
public final class StatusCommand implements Command {

    /** The settings of the platform. */
    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            LogSession session = platform.open("status");
            LogState state = session.readToEnd();
            output.println(
                    "configuration version " + state.configuration().current().version() + " by "
                            + state.configuration().lastOperator());
            output.println("lease held by " + state.lease().holder() + ", fencing number "
                    + state.lease().fencingNumber());
            output.println("last closed usage window " + state.usage().lastClosed());
            for (GatewayMember member : state.members().all()) {
                output.println(GatewayStatus.ask(member)
                        .map(report -> member.host() + ": version " + report.getConfigurationVersion()
                                + ", log offset " + report.getLogOffset() + ", in flight "
                                + report.getInFlight().values().stream()
                                        .mapToInt(Integer::intValue)
                                        .sum())
                        .orElse(member.host() + ": no answer"));
            }
            return ExitStatus.DONE;
        } finally {
            platform.close();
        }
    }
}
