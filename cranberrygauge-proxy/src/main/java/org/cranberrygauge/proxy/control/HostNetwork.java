package org.cranberrygauge.proxy.control;

import org.cranberrygauge.proxy.ProxySettings;
import org.cranberrygauge.proxy.store.LogAvailability;

/**
 * The connection of this host with the others.
 *
 * @param relay Reads topics through other hosts.
 * @param topic The topic in which hosts publish their addresses.
 */
public record HostNetwork(PeerDirectory peers, HostChannel channel, TopicRelay relay, String topic) {

    /** Creates the connection; {@link PeerReportExchange#start()} opens the channel. */
    public static HostNetwork of(ControllerContext context, ProxySettings settings, String topic) {
        PeerDirectory peers = new PeerDirectory(settings.host(), settings.dataCentre());
        HostChannel channel = new HostChannel(context, settings.peers());
        LogAvailability availability = new LogAvailability(settings.times().entryExpiryMillis());
        return new HostNetwork(peers, channel, new TopicRelay(context, peers, channel, availability), topic);
    }
}
