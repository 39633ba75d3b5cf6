package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.decision.capacity.ServerCapacity;
import org.cranberrygauge.decision.capacity.SpeedNotices;
import org.cranberrygauge.decision.capacity.SpeedNotices.Standing;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.backend.BackendEvents;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * Publishes the measured speed of backend servers: to the other hosts, as metrics and as events. Not thread-safe; used
 * on the event loop of requests.
 */
public final class SpeedReporter {

    /** The maximum number of servers in a report to the other hosts. */
    private static final int MAXIMUM_REPORTED = 64;

    private static final int PERCENT = 100;

    /** The minimum time between publications; each one computes the ratios of all servers. */
    private static final long INTERVAL_MILLIS = 500;

    private final ServerCapacity capacity;

    private final ProxyBlackboard blackboard;

    private final HostMetrics metrics;

    private final EventLog events;

    private final SpeedNotices notices = new SpeedNotices();

    private long publishedMillis = Long.MIN_VALUE / 2;

    public SpeedReporter(ServerCapacity capacity, ProxyBlackboard blackboard, HostMetrics metrics, EventLog events) {
        this.capacity = capacity;
        this.blackboard = blackboard;
        this.metrics = metrics;
        this.events = events;
    }

    /**
     * Publishes the present ratios if it is time, and drops those of servers that are no longer listed.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void publish(long nowMillis) {
        if (nowMillis - publishedMillis < INTERVAL_MILLIS) {
            return;
        }
        publishedMillis = nowMillis;
        BackendSnapshot snapshot = blackboard.backends();
        capacity.retain(snapshot::lists);
        notices.retain(snapshot::lists);
        blackboard.publishServerSpeeds(capacity.speed().report(nowMillis, MAXIMUM_REPORTED));
        int slow = 0;
        int fast = 0;
        for (Backend backend : snapshot.all()) {
            double ratio = capacity.speed().ratio(nowMillis, backend.pool(), backend.incarnation());
            slow += Standing.of(ratio) == Standing.SLOW ? 1 : 0;
            fast += Standing.of(ratio) == Standing.FAST ? 1 : 0;
            notices.update(nowMillis, backend.incarnation(), ratio)
                    .ifPresent(standing -> events.emit(new BackendEvents.BackendSpeedChanged(
                            backend.incarnation(), backend.pool(), standing.name(), Math.round(ratio * PERCENT))));
        }
        metrics.recordSpeeds(slow, fast);
    }
}
