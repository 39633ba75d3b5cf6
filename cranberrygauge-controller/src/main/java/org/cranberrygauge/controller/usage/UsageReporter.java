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
 * <p>Invariants: a window is reported only as closed in the log, so that each report of it has the same figures; at most
 * one report is under way, and none starts that the lease may not outlast. Used on the context of the log follower.
 */
public final class UsageReporter {

    /** The time after a failed report before it is sent again in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    /** The purpose of the close of a window. */
    private static final String CLOSE = "window-close";

    /** The purpose of the acknowledgement of a window. */
    private static final String REPORTED = "window-reported";

    /** The incarnation of this controller. */
    private final String incarnation;

    /** Decides whether this controller holds the lease. */
    private final LeaderElector lease;

    /** The follower, on whose context answers are taken. */
    private final LogFollower follower;

    /** The appender. */
    private final ControlAppender appender;

    /** The platform. */
    private final Platform platform;

    /** The sources of time. */
    private final TimeSource time;

    /** The event log. */
    private final EventLog events;

    /** The monotonic time of the last close. */
    private long closedAtMillis;

    /** The monotonic time before which no report is sent, after one failed. */
    private long notBeforeMillis;

    /** Whether a report is under way. */
    private boolean reporting;

    /**
     * Creates a reporter.
     *
     * @param incarnation The incarnation of this controller.
     * @param lease Decides whether this controller holds the lease.
     * @param follower The follower, on whose context answers are taken.
     * @param appender The appender.
     * @param platform The platform.
     * @param time The sources of time.
     * @param events The event log.
     */
    public UsageReporter(
            String incarnation,
            LeaderElector lease,
            LogFollower follower,
            ControlAppender appender,
            Platform platform,
            TimeSource time,
            EventLog events) {
        this.incarnation = incarnation;
        this.lease = lease;
        this.follower = follower;
        this.appender = appender;
        this.platform = platform;
        this.time = time;
        this.events = events;
        this.closedAtMillis = time.monotonicMillis();
    }

    /**
     * Closes and reports what is due, while the lease is held.
     *
     * @param state The state machines.
     */
    public void tick(LogState state) {
        long nowMillis = time.monotonicMillis();
        ControlTimes times = state.configuration().current().configuration().times();
        if (nowMillis - closedAtMillis >= times.usageWindowMillis()) {
            long windowId = state.usage().lastClosed() + 1;
            appender.append(CLOSE, new WindowClose(windowId, incarnation, lease.fencingNumber()))
                    .ifPresent(taken -> closedAtMillis = nowMillis);
        }
        boolean lasts = lease.remainingMillis(nowMillis) > times.orderTimeoutMillis();
        if (!reporting && lasts && nowMillis >= notBeforeMillis && appender.isFree(REPORTED)) {
            state.usage().nextToReport().ifPresent(this::report);
        }
    }

    /**
     * Reports a window.
     *
     * @param window The window.
     */
    private void report(UsageLedger.ClosedWindow window) {
        reporting = true;
        long fencingNumber = lease.fencingNumber();
        platform.reportUsage(new Platform.UsageReport(window.windowId(), fencingNumber, window.figures()))
                .whenComplete((done, failure) -> follower.onContext(state -> {
                    reporting = false;
                    if (failure != null) {
                        notBeforeMillis = time.monotonicMillis() + RETRY_MILLIS;
                        return;
                    }
                    events.emit(new ControllerEvents.UsageReported(
                            window.windowId(), window.figures().size()));
                    appender.append(REPORTED, new WindowReported(window.windowId(), fencingNumber));
                }));
    }
}
