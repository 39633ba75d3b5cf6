package org.cranberrygauge.operator.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * What can be told while the log does not answer: what each gateway says of itself.
 *
 * <p>Invariants: nothing is told as known that only the log knows. Immutable and safe for use by several threads.
 *
 * @param reason Why the log can't be read.
 * @param gateways What each gateway says.
 */
public record OutageView(String reason, List<GatewayState> gateways) {

    /** Copies the list. */
    public OutageView {
        gateways = List.copyOf(gateways);
    }

    /**
     * What a gateway says.
     *
     * @param address The address of its operations.
     * @param state Its state as JSON, or an empty string if it does not answer.
     */
    public record GatewayState(String address, String state) {}

    /**
     * Asks the gateways.
     *
     * @param reason Why the log can't be read.
     * @param operations The operations of the gateways.
     * @return The view.
     */
    public static OutageView read(String reason, OperationsClient operations) {
        Map<NetworkAddress, String> states = operations.states();
        List<GatewayState> gateways = operations.addresses().stream()
                .map(address -> new GatewayState(address.toString(), states.getOrDefault(address, "")))
                .toList();
        return new OutageView(reason, gateways);
    }

    /**
     * Writes the view for people.
     *
     * @return The lines.
     */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(reason);
        lines.add("attainment, cost and who is in charge are not known; gateways say of themselves:");
        if (gateways.isEmpty()) {
            lines.add("none was asked; state --operations-addresses");
        }
        gateways.forEach(gateway ->
                lines.add(gateway.address() + " " + (gateway.state().isEmpty() ? "no answer" : gateway.state())));
        return lines;
    }
}
