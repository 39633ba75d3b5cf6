package org.cranberrygauge.proxy.store;

import io.netty.util.NetUtil;
import org.cranberrygauge.model.backend.NetworkAddress;

/** Checks addresses that other processes write to the shared log. Stateless and thread-safe. */
public final class AddressValidation {

    private static final int HIGHEST_PORT = 65_535;

    private AddressValidation() {}

    /**
     * Returns an address at which a process can listen.
     *
     * @throws UnreadableRecordException If it has no IP address, since a name would have to be looked up, or if its port is
     *     not from 1 to 65535.
     */
    public static NetworkAddress require(NetworkAddress address) throws UnreadableRecordException {
        boolean literal = NetUtil.isValidIpV4Address(address.host()) || NetUtil.isValidIpV6Address(address.host());
        if (!literal || address.port() < 1 || address.port() > HIGHEST_PORT) {
            throw new UnreadableRecordException("address is not an IP address with a port from 1 to " + HIGHEST_PORT);
        }
        return address;
    }
}
