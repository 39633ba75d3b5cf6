package org.cranberrygauge.proxy.control;

import org.cranberrygauge.proxy.ProxySettings;

/**
 * What connects this host with the others.
 *
 * @param peers The other hosts.
 * @param channel Carries the messages.
 * @param relay Reads topics through other hosts.
 * @param topic The topic in which hosts write where they take messages.
 */
public record HostNetwork(PeerDirectory peers, HostChannel channel, TopicRelay relay, String topic) {

    /**
     * Creates what connects a host with the others.
     *
     * @param tools The tools.
     * @param settings The settings of the host.
     * @param topic The topic in which hosts write where they take messages.
     * @return What connects it.
     */
    public static HostNetwork of(ControllerContext tools, ProxySettings settings, String topic) {
        PeerDirectory peers = new PeerDirectory(settings.host(), settings.dataCentre());
        HostChannel channel = new HostChannel(tools, settings.peers());
        return new HostNetwork(peers, channel, new TopicRelay(tools, peers, channel), topic);
    }
}
