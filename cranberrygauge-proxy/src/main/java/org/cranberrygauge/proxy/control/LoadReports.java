package org.cranberrygauge.proxy.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.cranberrygauge.decision.engine.PrefillTokens;
import org.cranberrygauge.protocol.generated.BackendWork;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * Reads the load that other hosts report; figures that no host computes are left out or read as none. Stateless and
 * thread-safe.
 */
final class LoadReports {

    /** The maximum number of speed ratios that are read of one report. */
    private static final int MAXIMUM_SPEEDS = 64;

    private static final double PERCENT = 100;

    private LoadReports() {}

    /** Returns the work by incarnation of the backend server. */
    static Map<String, Work> work(HostReport report) {
        Map<String, Work> work = new HashMap<>();
        report.getWork().forEach((incarnation, entry) -> work.put(incarnation, work(entry)));
        return work;
    }

    private static Work work(BackendWork entry) {
        return new Work(
                Math.max(0, entry.getRunning()),
                Math.max(0, entry.getUnreadTokens()),
                Math.max(0, entry.getHeldTokens()),
                Math.max(0, entry.getShortRunning()));
    }

    /** Returns the recent prefill work by pool; none if the host does not report it. */
    static Map<String, PrefillTokens> prefill(HostReport report) {
        Map<String, PrefillTokens> prefill = new HashMap<>();
        if (report.isSetPrefill()) {
            report.getPrefill()
                    .forEach((pool, work) -> prefill.put(
                            pool,
                            new PrefillTokens(Math.max(0, work.getShortTokens()), Math.max(0, work.getLongTokens()))));
        }
        return prefill;
    }

    /**
     * Returns the times of backend servers relative to their pool, by incarnation; empty if this report does not hold
     * them, as not every report does.
     */
    static Optional<Map<String, Double>> speeds(HostReport report) {
        if (!report.isSetServerSpeedPercent()) {
            return Optional.empty();
        }
        Map<String, Double> speeds = new HashMap<>();
        report.getServerSpeedPercent().entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .limit(MAXIMUM_SPEEDS)
                .forEach(entry -> speeds.put(entry.getKey(), entry.getValue() / PERCENT));
        return Optional.of(speeds);
    }

    /** Returns the time for which the log has answered without an outage in milliseconds; empty if the host reports none. */
    static OptionalLong logAvailableMillis(HostReport report) {
        return report.isSetLogAvailableMillis() && report.getLogAvailableMillis() >= 0
                ? OptionalLong.of(report.getLogAvailableMillis())
                : OptionalLong.empty();
    }

    /** Returns the smoothed delay of the event loop in milliseconds; empty if the host reports none. */
    static OptionalInt loopDelay(HostReport report) {
        return report.isSetLoopDelayMillis() ? OptionalInt.of(report.getLoopDelayMillis()) : OptionalInt.empty();
    }
}
