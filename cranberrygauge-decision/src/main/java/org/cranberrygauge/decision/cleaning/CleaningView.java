package org.cranberrygauge.decision.cleaning;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.configuration.CleaningWindow;

/**
 * The input of the cleaning planner.
 *
 * @param servers The backend servers that are configured or listed as live.
 * @param drains The drains recorded in the log.
 * @param inFlight The requests in flight from all gateways, by backend server.
 * @param waiting The number of requests waiting at all gateways.
 * @param complete Whether all member gateways reported recently, so that no request in flight is unknown.
 */
public record CleaningView(
        List<CleaningWindow> windows,
        List<BackendServer> servers,
        DrainState drains,
        Map<String, Integer> inFlight,
        int waiting,
        boolean complete) {

    public CleaningView {
        windows = List.copyOf(windows);
        servers = List.copyOf(servers);
        inFlight = Map.copyOf(inFlight);
    }

    /** Returns the requests in flight on a backend server. */
    public int inFlightOn(String backendServer) {
        return inFlight.getOrDefault(backendServer, 0);
    }
}
