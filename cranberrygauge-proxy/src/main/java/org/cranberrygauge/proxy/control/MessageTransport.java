package org.cranberrygauge.proxy.control;

import java.util.Collection;
import java.util.function.BiConsumer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;

/**
 * Sends and receives messages between hosts.
 *
 * <p>A message may be lost, duplicated or delayed. Not thread-safe.
 */
interface MessageTransport {

    /** Sets the handler for one kind of message; it receives the message and the sender's address. */
    void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> handler);

    /** Sends a message to each of the receivers. */
    void send(HostMessage message, Collection<NetworkAddress> receivers);
}
