package org.cranberrygauge.controller.usage;

import org.cranberrygauge.controller.ControlAppender;
import org.cranberrygauge.controller.ControllerEvents;
import org.cranberrygauge.decision.lease.LeaderElector;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.decision.usage.UsageLedger;
import org.cranberrygauge.model.configuration.ControlTimes;
import org.cranberrygauge.model.record.LogRecord.WindowClose;
import org.cranberrygauge.model.record.LogRecord.WindowReported;
import org.cranberrygauge.protocol.platform.Platform;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Closes usage windows in the log and reports them to the platform.
 *
 * <p>Invariants: a window is reported only as it was closed in the log, so that repeated reports carry the same
 * figures. At most one report is in flight, and none is started if the lease may expire before its timeout. Used on the
 * context of the log follower.
 */
public final class UsageReporter {

    private static final long RETRY_MILLIS = 1_000;

    private static final String WINDOW_CLOSE_KEY = "window-close";

    private static final String WINDOW_REPORTED_KEY = "window-reported";

    private final String incarnation;

    private final LeaderElector leaderElector;

    private final LogFollower follower;

    private final ControlAppender appender;

    private final Platform platform;

    private final TimeSource time;

    private final EventLog events;

    /** The monotonic time at which the last window was closed, or at which this reporter was created. */
    private long closedAtMillis;

    /** The monotonic time from which a failed report may be retried. */
    private long retryAtMillis;

    private boolean reporting;

    public UsageReporter(
            String incarnation,
            LeaderElector leaderElector,
            LogFollower follower,
            ControlAppender appender,
            Platform platform,
            TimeSource time,
            EventLog events) {
        this.incarnation = incarnation;
        this.leaderElector = leaderElector;
        this.follower = follower;
        this.appender = appender;
        this.platform = platform;
        this.time = time;
        this.events = events;
        this.closedAtMillis = time.monotonicMillis();
    }

    /** Closes and reports the windows that are due, while the lease is held. */
    public void tick(LogState state) {
        long nowMillis = time.monotonicMillis();
        ControlTimes times = state.configuration().current().configuration().times();
        if (nowMillis - closedAtMillis >= times.usageWindowMillis()) {
            long windowId = state.usage().lastClosed() + 1;
            appender.append(WINDOW_CLOSE_KEY, new WindowClose(windowId, incarnation, leaderElector.fencingNumber()))
                    .ifPresent(taken -> closedAtMillis = nowMillis);
        }
        boolean leaseLasts = leaderElector.remainingMillis(nowMillis) > times.orderTimeoutMillis();
        if (!reporting && leaseLasts && nowMillis >= retryAtMillis && appender.isFree(WINDOW_REPORTED_KEY)) {
            state.usage().nextToReport().ifPresent(this::report);
        }
    }

    private void report(UsageLedger.ClosedWindow window) {
        reporting = true;
        long fencingNumber = leaderElector.fencingNumber();
        platform.reportUsage(new Platform.UsageReport(window.windowId(), fencingNumber, window.figures()))
                .whenComplete((done, failure) -> follower.onContext(state -> {
                    reporting = false;
                    if (failure != null) {
                        retryAtMillis = time.monotonicMillis() + RETRY_MILLIS;
                        return;
                    }
                    events.emit(new ControllerEvents.UsageReported(
                            window.windowId(), window.figures().size()));
                    appender.append(WINDOW_REPORTED_KEY, new WindowReported(window.windowId(), fencingNumber));
                }));
    }
}
