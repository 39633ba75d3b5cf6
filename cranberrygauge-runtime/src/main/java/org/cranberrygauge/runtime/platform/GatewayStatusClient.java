package org.cranberrygauge.runtime.platform;

import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.cranberrygauge.decision.membership.GatewayMember;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.GatewayExchange;
import org.cranberrygauge.protocol.generated.GatewayReport;

/**
 * Queries gateways for their status reports.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class GatewayStatusClient {

    /** The connect and read timeout in milliseconds. */
    private static final int TIMEOUT_MILLIS = 1_000;

    private GatewayStatusClient() {}

    /** Returns the report of a gateway, or nothing if it does not answer. Blocks until then. */
    public static Optional<GatewayReport> fetchReport(GatewayMember member) {
        NetworkAddress address = NetworkAddress.parse(member.address());
        try (TSocket socket = new TSocket(address.host(), address.port(), TIMEOUT_MILLIS);
                TFramedTransport transport = new TFramedTransport(socket)) {
            transport.open();
            return Optional.of(new GatewayExchange.Client(new TCompactProtocol(transport)).status());
        } catch (TException exception) {
            return Optional.empty();
        }
    }
}
