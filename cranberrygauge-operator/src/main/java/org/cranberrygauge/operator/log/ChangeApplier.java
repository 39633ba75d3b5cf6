package org.cranberrygauge.operator.log;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.configuration.ConfigurationProblem;
import org.cranberrygauge.decision.configuration.ConfigurationState.Verdict;
import org.cranberrygauge.decision.configuration.ConfigurationValidator;
import org.cranberrygauge.decision.membership.GatewayMember;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.operator.command.ExitStatus;
import org.cranberrygauge.runtime.platform.GatewayStatusClient;

/**
 * Brings a change of the configuration into force.
 *
 * <p>Invariants: "accepted" is told only once every gateway that is a member has confirmed the version. Used by one thread.
 */
public final class ChangeApplier {

    /** The time between two rounds of asking gateways in milliseconds. */
    private static final long POLL_MILLIS = 50;

    /** The session with the log. */
    private final LogSession session;

    /** The time after which confirmation is given up in milliseconds. */
    private final long timeoutMillis;

    /**
     * Creates an applier.
     *
     * @param session The session with the log.
     * @param timeoutMillis The time after which confirmation is given up in milliseconds.
     */
    public ChangeApplier(LogSession session, long timeoutMillis) {
        this.session = session;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Returns the version in force.
     *
     * @return The version.
     * @throws CranberrygaugeException If the log does not answer.
     */
    public long currentVersion() throws CranberrygaugeException {
        return session.readToEnd().configuration().current().version();
    }

    /**
     * Applies a change.
     *
     * @param changeId The identifier of the change.
     * @param operator The name of the operator.
     * @param baseVersion The version that the change is based on.
     * @param configuration The configuration.
     * @param output Takes what is told.
     * @return How it ended.
     * @throws CranberrygaugeException If the configuration is invalid or the log does not answer.
     */
    public ExitStatus apply(
            String changeId, String operator, long baseVersion, Configuration configuration, PrintStream output)
            throws CranberrygaugeException {
        List<ConfigurationProblem> problems = ConfigurationValidator.problems(configuration);
        if (!problems.isEmpty()) {
            problems.forEach(output::println);
            throw new CranberrygaugeException(ErrorCode.INVALID_CONFIGURATION, "the configuration is invalid");
        }
        session.append(new LogRecord.ConfigurationChange(changeId, operator, baseVersion, configuration));
        session.readToEnd();
        ApplyResult.ChangeResult judged = session.judgementOf(changeId)
                .orElseThrow(() -> new CranberrygaugeException(
                        ErrorCode.LOG_UNAVAILABLE, "the change was appended and can't be read back"));
        if (judged.verdict() != Verdict.ACCEPTED) {
            output.println("conflict: the change was based on version " + baseVersion + ", in force is version "
                    + session.readToEnd().configuration().current().version() + "; nothing was changed");
            return ExitStatus.CONFLICT;
        }
        return confirm(judged.offset(), output);
    }

    /**
     * Waits until every gateway that is a member has a version.
     *
     * @param version The version.
     * @param output Takes what is told.
     * @return How it ended; the change stands in the log, so that an outage of the log now is no doubt about it.
     */
    private ExitStatus confirm(long version, PrintStream output) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        List<String> missing = missing(version);
        while (!missing.isEmpty() && System.nanoTime() < untilNanos) {
            pause();
            missing = missing(version);
        }
        if (missing.isEmpty()) {
            output.println("accepted: version " + version + " is in force on every gateway");
            return ExitStatus.DONE;
        }
        output.println("appended as version " + version + ", not yet confirmed by " + String.join(", ", missing));
        return ExitStatus.UNCONFIRMED;
    }

    /**
     * Lists the gateways that do not have a version.
     *
     * @param version The version.
     * @return The hosts, or the log itself if it does not tell which gateways there are.
     */
    private List<String> missing(long version) {
        List<String> missing = new ArrayList<>();
        LogState state;
        try {
            state = session.readToEnd();
        } catch (CranberrygaugeException exception) {
            return List.of("gateways not known, since " + exception.getMessage());
        }
        for (GatewayMember member : state.members().all()) {
            boolean confirmed = GatewayStatusClient.ask(member)
                    .filter(report -> report.getConfigurationVersion() >= version)
                    .isPresent();
            if (!confirmed) {
                missing.add(member.host());
            }
        }
        return missing;
    }

    /** Pauses this thread. */
    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
