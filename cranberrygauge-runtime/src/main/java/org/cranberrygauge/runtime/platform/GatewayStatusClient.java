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
 * Asks gateways what they know.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class GatewayStatusClient {

    /** The time after which a gateway is given up in milliseconds. */
    private static final int TIMEOUT_MILLIS = 1_000;

    /** Prevents instances. */
    private GatewayStatusClient() {}

    /**
     * Asks a gateway for its report.
     *
     * @param member The gateway.
     * @return The report, or nothing if it does not answer.
     */
    public static Optional<GatewayReport> ask(GatewayMember member) {
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
