package org.cranberrygauge.controller.cleaning;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.controller.ControlAppender;
import org.cranberrygauge.controller.ControllerEvents;
import org.cranberrygauge.decision.cleaning.CleaningAction;
import org.cranberrygauge.decision.cleaning.CleaningPlanner;
import org.cranberrygauge.decision.cleaning.CleaningView;
import org.cranberrygauge.decision.fleet.DemandEstimator.GatewayLoad;
import org.cranberrygauge.decision.lease.LeaderElector;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.LogRecord.DrainEnded;
import org.cranberrygauge.model.record.LogRecord.DrainStarted;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * Carries out the decisions of the cleaning planner by appending records to the log.
 *
 * <p>Invariants: each record carries the fencing number, so that records of a former lease holder have no effect; a
 * backend server has at most one record in flight. Used on the context of the log follower, while the lease is held.
 */
public final class CleaningCoordinator {

    private final CleaningPlanner planner;

    private final LeaderElector leaderElector;

    private final ControlAppender appender;

    private final EventLog events;

    public CleaningCoordinator(
            CleaningPlanner planner, LeaderElector leaderElector, ControlAppender appender, EventLog events) {
        this.planner = planner;
        this.leaderElector = leaderElector;
        this.appender = appender;
        this.events = events;
    }

    /**
     * Decides which cleaning steps are due and appends their records.
     *
     * @param wallMillis The current time in milliseconds since the epoch.
     * @param servers The backend servers that are configured, or listed as live.
     * @param loads The recent load of each gateway that responded, by gateway.
     * @return The number of backend servers needed on top of the demand, by model.
     */
    public Map<String, Integer> tick(
            long wallMillis, LogState state, List<BackendServer> servers, Map<String, GatewayLoad> loads) {
        Map<String, Integer> inFlight = new HashMap<>();
        int waiting = 0;
        for (GatewayLoad load : loads.values()) {
            load.inFlight().forEach((server, count) -> inFlight.merge(server, count, Integer::sum));
            waiting += sum(load.waiting().values());
        }
        Set<String> silentGateways = new HashSet<>();
        state.members().all().forEach(member -> silentGateways.add(member.gateway()));
        silentGateways.removeAll(loads.keySet());
        CleaningView view = new CleaningView(
                state.configuration().current().configuration().cleaningWindows(),
                servers,
                state.drains(),
                inFlight,
                waiting,
                silentGateways.isEmpty());
        CleaningPlanner.Decision decision = planner.decide(wallMillis, view);
        new ArrayList<>(decision.actions()).forEach(this::apply);
        return decision.reserve();
    }

    private void apply(CleaningAction action) {
        String server = action.backendServer();
        long fencing = leaderElector.fencingNumber();
        if (action instanceof CleaningAction.Start start) {
            append(server, new DrainStarted(start.drainId(), fencing, Set.of(server), "cleaning"), "drain_started");
        } else if (action instanceof CleaningAction.Suspend suspend) {
            append(server, new DrainStarted(suspend.drainId(), fencing, Set.of(), suspend.reason()), suspend.reason());
        } else if (action instanceof CleaningAction.Finish finish) {
            append(server, new DrainEnded(finish.drainId(), fencing), "cleaned");
        } else if (action instanceof CleaningAction.Release release) {
            append(server, new DrainEnded(release.drainId(), fencing), "window_over");
        } else if (action instanceof CleaningAction.Missed missed) {
            events.emit(new ControllerEvents.CleaningMissed(missed.drainId(), server, missed.reason()));
        }
    }

    /** Appends a record unless the previous one of the same backend server is in flight or still to be read back. */
    private void append(String server, LogRecord record, String step) {
        if (appender.append("cleaning:" + server, record).isPresent()) {
            events.emit(new ControllerEvents.CleaningStep(server, step));
        }
    }

    private static int sum(Collection<Integer> counts) {
        return counts.stream().mapToInt(Integer::intValue).sum();
    }
}
