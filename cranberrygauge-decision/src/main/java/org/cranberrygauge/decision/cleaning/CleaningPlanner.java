package org.cranberrygauge.decision.cleaning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * Decides which backend servers are drained for cleaning, and when they return to service.
 *
 * <p>Invariants: a drain starts only within its window, and only if the remaining servers of each model can carry the
 * requests in flight and waiting with a margin, which is larger while another server of the model is drained; a server
 * counts as empty only while all gateways report and none has a request on it; no request is cut: a server that is not
 * empty when its window closes returns to service and is reported as missed. What was cleaned is derived from the log,
 * so that a new holder of the lease continues where the last one stopped. Not thread-safe; confined to one thread.
 */
public final class CleaningPlanner {

    /** The prefix of the identifiers of cleaning drains. */
    public static final String DRAIN_PREFIX = "cleaning/";

    /** The fraction of the remaining slots that the work may fill when the first server of a model is drained. */
    private static final double FIRST_DRAIN_UTILIZATION = 0.8;

    /**
     * The fraction of the remaining slots that the work may fill when another server of the model is already drained.
     */
    private static final double FURTHER_DRAIN_UTILIZATION = 0.5;

    /** The time for which a server must be seen without a request before it counts as empty, in milliseconds. */
    private static final long SETTLE_MILLIS = 3_000;

    /** The time after the end of a window within which misses are reported, in milliseconds. */
    private static final long MISS_REPORT_MILLIS = 3_600_000;

    /** The time that cleaning an empty server takes, in milliseconds. */
    private final long cleaningMillis;

    /**
     * The time since which each drained server has been seen without a request, by drain, in milliseconds since the
     * epoch.
     */
    private final Map<String, Long> emptySinceMillis = new HashMap<>();

    /** The drains whose misses were reported. */
    private final Set<String> reported = new HashSet<>();

    /**
     * Creates a planner that has not observed any server yet.
     *
     * @param cleaningMillis The time that cleaning an empty server takes, in milliseconds.
     */
    public CleaningPlanner(long cleaningMillis) {
        this.cleaningMillis = cleaningMillis;
    }

    /**
     * Returns the actions that are due.
     *
     * @param wallMillis The current time in milliseconds since the epoch.
     */
    public Decision decide(long wallMillis, CleaningView view) {
        List<CleaningAction> actions = new ArrayList<>();
        Map<String, Integer> reserve = new HashMap<>();
        Set<String> drained = new HashSet<>();
        view.servers().stream()
                .map(BackendServer::name)
                .filter(view.drains()::isDrained)
                .forEach(drained::add);
        for (BackendServer server : view.servers()) {
            if (drained.contains(server.name())) {
                server.serves().forEach(model -> reserve.merge(model, 1, Integer::sum));
            }
        }
        view.windows().stream()
                .map(window -> CleaningOccurrence.last(window, wallMillis))
                .forEach(occurrence -> decide(wallMillis, view, occurrence, drained, new Decision(actions, reserve)));
        return new Decision(List.copyOf(actions), Map.copyOf(reserve));
    }

    /**
     * Decides the actions for the servers of one window.
     *
     * @param drained The servers that are drained or about to be.
     * @param decision Collects the actions.
     */
    private void decide(
            long wallMillis, CleaningView view, CleaningOccurrence occurrence, Set<String> drained, Decision decision) {
        for (BackendServer server : view.servers()) {
            boolean inScope =
                    server.kind() == BackendKind.MODEL && server.dataCentre().equals(occurrence.dataCentre());
            String drainId = occurrence.drainId(server.name());
            if (!inScope || view.drains().hasEnded(drainId)) {
                continue;
            }
            if (view.drains().drains().containsKey(drainId) && drained.contains(server.name())) {
                continueDrain(wallMillis, view, occurrence, server, decision);
            } else if (occurrence.isOpen(wallMillis)) {
                start(wallMillis, view, occurrence, server, drained, decision);
            } else {
                reportMissed(wallMillis, view, occurrence, server.name(), "no_capacity", decision);
            }
        }
    }

    /**
     * Starts the drain of a server if the others can carry its work.
     *
     * @param drained The servers that are drained or about to be.
     * @param decision Collects the actions.
     */
    private void start(
            long wallMillis,
            CleaningView view,
            CleaningOccurrence occurrence,
            BackendServer server,
            Set<String> drained,
            Decision decision) {
        boolean inTime = wallMillis + cleaningMillis < occurrence.endMillis();
        if (!inTime || !view.complete() || drained.contains(server.name())) {
            return;
        }
        for (String model : server.serves()) {
            if (!canOthersCarry(view, server, model, drained)) {
                decision.reserve().merge(model, 1, Integer::sum);
                return;
            }
        }
        drained.add(server.name());
        decision.actions().add(new CleaningAction.Start(occurrence.drainId(server.name()), server.name()));
    }

    /**
     * Continues with a server that is being emptied or cleaned.
     *
     * @param decision Collects the actions.
     */
    private void continueDrain(
            long wallMillis,
            CleaningView view,
            CleaningOccurrence occurrence,
            BackendServer server,
            Decision decision) {
        String drainId = occurrence.drainId(server.name());
        if (!view.complete() || view.inFlightOn(server.name()) > 0) {
            emptySinceMillis.remove(drainId);
            if (!occurrence.isOpen(wallMillis)) {
                String reason = view.complete() ? "requests_in_flight" : "gateway_silent";
                reportMissed(wallMillis, view, occurrence, server.name(), reason, decision);
            } else if (view.complete() && lacksCapacity(view, server)) {
                decision.actions().add(new CleaningAction.Suspend(drainId, server.name(), "capacity_lost"));
            }
            return;
        }
        long emptySince = emptySinceMillis.computeIfAbsent(drainId, id -> wallMillis);
        if (wallMillis - emptySince >= SETTLE_MILLIS + cleaningMillis) {
            emptySinceMillis.remove(drainId);
            decision.actions().add(new CleaningAction.Finish(drainId, server.name()));
        }
    }

    /**
     * Reports a miss once. Ends the drain repeatedly until the end is in the log.
     *
     * @param reason The reason code.
     * @param decision Collects the actions.
     */
    private void reportMissed(
            long wallMillis,
            CleaningView view,
            CleaningOccurrence occurrence,
            String server,
            String reason,
            Decision decision) {
        String drainId = occurrence.drainId(server);
        if (view.drains().drains().containsKey(drainId)) {
            decision.actions().add(new CleaningAction.Release(drainId, server));
        }
        if (wallMillis < occurrence.endMillis() + MISS_REPORT_MILLIS && reported.add(drainId)) {
            decision.actions().add(new CleaningAction.Missed(drainId, server, reason));
        }
    }

    /**
     * Returns whether the remaining servers of a model can carry its work.
     *
     * @param candidate The server to drain.
     * @param drained The servers that are drained or about to be.
     */
    private static boolean canOthersCarry(
            CleaningView view, BackendServer candidate, String model, Set<String> drained) {
        int slots = 0;
        int work = view.waiting();
        boolean first = true;
        for (BackendServer server : view.servers()) {
            if (!server.canServe(model)) {
                continue;
            }
            work += view.inFlightOn(server.name());
            first &= !drained.contains(server.name());
            boolean remains = !drained.contains(server.name()) && !server.name().equals(candidate.name());
            slots += remains ? server.slots() : 0;
        }
        return slots > 0 && work <= slots * (first ? FIRST_DRAIN_UTILIZATION : FURTHER_DRAIN_UTILIZATION);
    }

    /** Returns whether, for a model of a drained server, requests are waiting and no other server has a free slot. */
    private static boolean lacksCapacity(CleaningView view, BackendServer drained) {
        for (String model : drained.serves()) {
            int free = view.servers().stream()
                    .filter(server -> server.canServe(model) && !view.drains().isDrained(server.name()))
                    .mapToInt(server -> Math.max(0, server.slots() - view.inFlightOn(server.name())))
                    .sum();
            if (free == 0 && view.waiting() > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * The actions that are due and the reserve that they need.
     *
     * @param actions The actions that are due.
     * @param reserve The number of backend servers needed beyond the demand, by model.
     */
    public record Decision(List<CleaningAction> actions, Map<String, Integer> reserve) {}
}
