package org.cranberrygauge.operator.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * What is known during a log outage: the state that each gateway reports of itself.
 *
 * <p>Invariants: contains nothing that only the log can tell. Immutable and safe for use by several threads.
 *
 * @param reason Why the log can't be read.
 */
public record OutageView(String reason, List<GatewayState> gateways) {

    public OutageView {
        gateways = List.copyOf(gateways);
    }

    /**
     * The state that a gateway reports.
     *
     * @param address The address of its operations server.
     * @param state The state as JSON, or an empty string if the gateway does not answer.
     */
    public record GatewayState(String address, String state) {}

    /**
     * Queries the gateways.
     *
     * @param reason Why the log can't be read.
     */
    public static OutageView read(String reason, OperationsClient operations) {
        Map<NetworkAddress, String> states = operations.states();
        List<GatewayState> gateways = operations.addresses().stream()
                .map(address -> new GatewayState(address.toString(), states.getOrDefault(address, "")))
                .toList();
        return new OutageView(reason, gateways);
    }

    /** Formats the view as lines of text. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(reason);
        lines.add("attainment, cost and lease holder are unknown; state reported by gateways:");
        if (gateways.isEmpty()) {
            lines.add("no gateway was queried; set --operations-addresses");
        }
        gateways.forEach(gateway ->
                lines.add(gateway.address() + " " + (gateway.state().isEmpty() ? "no answer" : gateway.state())));
        return lines;
    }
}
