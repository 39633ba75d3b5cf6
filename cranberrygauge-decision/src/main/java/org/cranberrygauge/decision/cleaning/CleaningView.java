package org.cranberrygauge.decision.cleaning;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.configuration.CleaningWindow;

/**
 * What the cleaning planner knows.
 *
 * @param windows The cleaning windows.
 * @param servers The backend servers that are configured or listed as live.
 * @param drains The drains that stand in the log.
 * @param inFlight The requests in flight by backend server, from all gateways.
 * @param waiting The requests that wait, at all gateways.
 * @param complete Whether every gateway that is a member reported lately, so that no request in flight is unknown.
 */
public record CleaningView(
        List<CleaningWindow> windows,
        List<BackendServer> servers,
        DrainState drains,
        Map<String, Integer> inFlight,
        int waiting,
        boolean complete) {

    /** Copies the collections. */
    public CleaningView {
        windows = List.copyOf(windows);
        servers = List.copyOf(servers);
        inFlight = Map.copyOf(inFlight);
    }

    /**
     * Returns the requests in flight on a backend server.
     *
     * @param backendServer The name of the backend server.
     * @return The number.
     */
    public int inFlightOn(String backendServer) {
        return inFlight.getOrDefault(backendServer, 0);
    }
}
