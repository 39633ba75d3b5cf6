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
 * Decides which backend servers are emptied, and when they get work again.
 *
 * <p>Invariants: a drain starts only in its window, and only if the servers that remain for each model carry the work in
 * flight and waiting with a margin, which is larger while another server of the model is drained; a server counts as empty
 * only while all gateways report and none has a request on it; no drain is ended by force, a server that is not empty when
 * its window closes goes back to work and is reported as missed. What stands in the log decides what was cleaned, so that a
 * new holder of the lease goes on where the last one stopped. Used by one thread.
 */
public final class CleaningPlanner {

    /** The beginning of the identifiers of drains for cleaning. */
    public static final String DRAIN_PREFIX = "cleaning/";

    /** The share of the remaining slots that the work may fill when the first server of a model is drained. */
    private static final double FIRST_SHARE = 0.8;

    /** The share of the remaining slots that the work may fill when another server of the model is drained already. */
    private static final double FURTHER_SHARE = 0.5;

    /** The time for which a server must be seen without a request before it counts as empty in milliseconds. */
    private static final long SETTLE_MILLIS = 3_000;

    /** The time after a window closed during which misses are reported in milliseconds. */
    private static final long REPORT_MILLIS = 3_600_000;

    /** The time that cleaning an empty server takes in milliseconds. */
    private final long cleaningMillis;

    /** The time since which each drained server is seen without a request, by drain. */
    private final Map<String, Long> emptySinceMillis = new HashMap<>();

    /** The misses that were reported. */
    private final Set<String> reported = new HashSet<>();

    /**
     * Creates a planner.
     *
     * @param cleaningMillis The time that cleaning an empty server takes in milliseconds.
     */
    public CleaningPlanner(long cleaningMillis) {
        this.cleaningMillis = cleaningMillis;
    }

    /**
     * Decides what is to be done.
     *
     * @param wallMillis The present time in milliseconds of the epoch.
     * @param view What is known.
     * @return The decision.
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
     * Decides for the servers of one window.
     *
     * @param wallMillis The present time in milliseconds of the epoch.
     * @param view What is known.
     * @param occurrence The occurrence of the window.
     * @param drained The servers that are drained or about to be.
     * @param decision Takes what is decided.
     */
    private void decide(
            long wallMillis, CleaningView view, CleaningOccurrence occurrence, Set<String> drained, Decision decision) {
        for (BackendServer server : view.servers()) {
            boolean concerned =
                    server.kind() == BackendKind.MODEL && server.dataCentre().equals(occurrence.dataCentre());
            String drainId = occurrence.drainId(server.name());
            if (!concerned || view.drains().hasEnded(drainId)) {
                continue;
            }
            if (view.drains().drains().containsKey(drainId) && drained.contains(server.name())) {
                goOn(wallMillis, view, occurrence, server, decision);
            } else if (occurrence.isOpen(wallMillis)) {
                start(wallMillis, view, occurrence, server, drained, decision);
            } else {
                miss(wallMillis, view, occurrence, server.name(), "no_capacity", decision);
            }
        }
    }

    /**
     * Starts to empty a server if the others carry its work.
     *
     * @param wallMillis The present time in milliseconds of the epoch.
     * @param view What is known.
     * @param occurrence The occurrence of the window.
     * @param server The server.
     * @param drained The servers that are drained or about to be.
     * @param decision Takes what is decided.
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
            if (!othersCarry(view, server, model, drained)) {
                decision.reserve().merge(model, 1, Integer::sum);
                return;
            }
        }
        drained.add(server.name());
        decision.actions().add(new CleaningAction.Start(occurrence.drainId(server.name()), server.name()));
    }

    /**
     * Goes on with a server that is being emptied or cleaned.
     *
     * @param wallMillis The present time in milliseconds of the epoch.
     * @param view What is known.
     * @param occurrence The occurrence of the window.
     * @param server The server.
     * @param decision Takes what is decided.
     */
    private void goOn(
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
                miss(wallMillis, view, occurrence, server.name(), reason, decision);
            } else if (view.complete() && isStarved(view, server)) {
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
     * Reports a miss once, and gives the server work again until the log says so.
     *
     * @param wallMillis The present time in milliseconds of the epoch.
     * @param view What is known.
     * @param occurrence The occurrence of the window.
     * @param server The name of the server.
     * @param reason The reason code.
     * @param decision Takes what is decided.
     */
    private void miss(
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
        if (wallMillis < occurrence.endMillis() + REPORT_MILLIS && reported.add(drainId)) {
            decision.actions().add(new CleaningAction.Missed(drainId, server, reason));
        }
    }

    /**
     * Tells whether the servers that remain for a model carry its work.
     *
     * @param view What is known.
     * @param candidate The server that shall be emptied.
     * @param model The model.
     * @param drained The servers that are drained or about to be.
     * @return Whether they do.
     */
    private static boolean othersCarry(CleaningView view, BackendServer candidate, String model, Set<String> drained) {
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
        return slots > 0 && work <= slots * (first ? FIRST_SHARE : FURTHER_SHARE);
    }

    /**
     * Tells whether a model of a drained server has no room left elsewhere while requests wait.
     *
     * @param view What is known.
     * @param drained The drained server.
     * @return Whether the server is needed back.
     */
    private static boolean isStarved(CleaningView view, BackendServer drained) {
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
     * What was decided.
     *
     * @param actions What is to be done.
     * @param reserve The number of backend servers that are needed beyond the demand, by model.
     */
    public record Decision(List<CleaningAction> actions, Map<String, Integer> reserve) {}
}
