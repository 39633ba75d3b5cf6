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
 * Carries out what the cleaning planner decides, by records in the log.
 *
 * <p>Invariants: each record carries the fencing number, so that those of a former holder are void; a backend server has at
 * most one record under way. Used on the context of the log follower, while the lease is held.
 */
public final class CleaningCoordinator {

    /** The planner. */
    private final CleaningPlanner planner;

    /** Decides whether this controller holds the lease. */
    private final LeaderElector lease;

    /** The appender. */
    private final ControlAppender appender;

    /** The event log. */
    private final EventLog events;

    /**
     * Creates a desk.
     *
     * @param planner The planner.
     * @param lease Decides whether this controller holds the lease.
     * @param appender The appender.
     * @param events The event log.
     */
    public CleaningCoordinator(
            CleaningPlanner planner, LeaderElector lease, ControlAppender appender, EventLog events) {
        this.planner = planner;
        this.lease = lease;
        this.appender = appender;
        this.events = events;
    }

    /**
     * Decides and writes what is due.
     *
     * @param wallMillis The present time in milliseconds of the epoch.
     * @param state The state machines.
     * @param servers The backend servers that are configured or listed as live.
     * @param loads The recent loads of gateways.
     * @return The number of backend servers that are needed beyond the demand, by model.
     */
    public Map<String, Integer> tick(
            long wallMillis, LogState state, List<BackendServer> servers, Map<String, GatewayLoad> loads) {
        Map<String, Integer> inFlight = new HashMap<>();
        int waiting = 0;
        for (GatewayLoad load : loads.values()) {
            load.inFlight().forEach((server, count) -> inFlight.merge(server, count, Integer::sum));
            waiting += sum(load.waiting().values());
        }
        Set<String> silent = new HashSet<>();
        state.members().all().forEach(member -> silent.add(member.gateway()));
        silent.removeAll(loads.keySet());
        CleaningView view = new CleaningView(
                state.configuration().current().configuration().cleaningWindows(),
                servers,
                state.drains(),
                inFlight,
                waiting,
                silent.isEmpty());
        CleaningPlanner.Decision decision = planner.decide(wallMillis, view);
        new ArrayList<>(decision.actions()).forEach(this::carryOut);
        return decision.reserve();
    }

    /**
     * Carries out an action.
     *
     * @param action The action.
     */
    private void carryOut(CleaningAction action) {
        String server = action.backendServer();
        long fencing = lease.fencingNumber();
        if (action instanceof CleaningAction.Start start) {
            write(server, new DrainStarted(start.drainId(), fencing, Set.of(server), "cleaning"), "drain_started");
        } else if (action instanceof CleaningAction.Suspend suspend) {
            write(server, new DrainStarted(suspend.drainId(), fencing, Set.of(), suspend.reason()), suspend.reason());
        } else if (action instanceof CleaningAction.Finish finish) {
            write(server, new DrainEnded(finish.drainId(), fencing), "cleaned");
        } else if (action instanceof CleaningAction.Release release) {
            write(server, new DrainEnded(release.drainId(), fencing), "window_over");
        } else if (action instanceof CleaningAction.Missed missed) {
            events.emit(new ControllerEvents.CleaningMissed(missed.drainId(), server, missed.reason()));
        }
    }

    /**
     * Writes a record unless one of the backend server is under way.
     *
     * @param server The name of the backend server.
     * @param record The record.
     * @param step The step that it stands for.
     */
    private void write(String server, LogRecord record, String step) {
        if (appender.append("cleaning:" + server, record).isPresent()) {
            events.emit(new ControllerEvents.CleaningStep(server, step));
        }
    }

    /**
     * Adds numbers.
     *
     * @param counts The numbers.
     * @return The sum.
     */
    private static int sum(Collection<Integer> counts) {
        return counts.stream().mapToInt(Integer::intValue).sum();
    }
}
