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
 * <p>Invariants: a change is reported as accepted only after every member gateway has confirmed its version. Used by
 * one thread.
 */
public final class ChangeApplier {

    private static final long POLL_INTERVAL_MILLIS = 50;

    private final LogSession session;

    private final long timeoutMillis;

    public ChangeApplier(LogSession session, long timeoutMillis) {
        this.session = session;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Reads the log and returns the version of the configuration in force.
     *
     * @throws CranberrygaugeException If the log does not answer.
     */
    public long currentVersion() throws CranberrygaugeException {
        return session.readToEnd().configuration().current().version();
    }

    /**
     * Appends a change to the log and waits until every member gateway has confirmed it.
     *
     * @param changeId The identifier of the change, by which a repeated append is recognised.
     * @param baseVersion The version that the change is based on; the change is a conflict if another one is in force.
     * @param output Receives messages for the operator.
     * @return How the change ended.
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
        ApplyResult.ChangeResult result = session.resultOf(changeId)
                .orElseThrow(() -> new CranberrygaugeException(
                        ErrorCode.LOG_UNAVAILABLE, "the change was appended but could not be read back"));
        if (result.verdict() != Verdict.ACCEPTED) {
            output.println("conflict: the change is based on version " + baseVersion + ", but the version in force is "
                    + session.readToEnd().configuration().current().version() + "; nothing was changed");
            return ExitStatus.CONFLICT;
        }
        return confirm(result.offset(), output);
    }

    /**
     * Waits until every member gateway has a version. The change is already in the log, so a log outage from here on
     * leaves it unconfirmed rather than in doubt.
     */
    private ExitStatus confirm(long version, PrintStream output) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        List<String> unconfirmed = unconfirmed(version);
        while (!unconfirmed.isEmpty() && System.nanoTime() < untilNanos) {
            pause();
            unconfirmed = unconfirmed(version);
        }
        if (unconfirmed.isEmpty()) {
            output.println("accepted: version " + version + " is in force on every gateway");
            return ExitStatus.DONE;
        }
        output.println("appended as version " + version + ", not yet confirmed by " + String.join(", ", unconfirmed));
        return ExitStatus.UNCONFIRMED;
    }

    /**
     * Lists the hosts of member gateways that have not confirmed a version, or the log outage that prevents knowing
     * them.
     */
    private List<String> unconfirmed(long version) {
        List<String> unconfirmed = new ArrayList<>();
        LogState state;
        try {
            state = session.readToEnd();
        } catch (CranberrygaugeException exception) {
            return List.of("unknown gateways, because " + exception.getMessage());
        }
        for (GatewayMember member : state.members().all()) {
            boolean confirmed = GatewayStatusClient.fetchReport(member)
                    .filter(report -> report.getConfigurationVersion() >= version)
                    .isPresent();
            if (!confirmed) {
                unconfirmed.add(member.host());
            }
        }
        return unconfirmed;
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
