package org.cranberrygauge.proxy.control;

import java.util.Collection;
import java.util.function.BiConsumer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;

/**
 * Carries messages between hosts.
 *
 * <p>A message may be lost, doubled or late. Used by one thread.
 */
interface MessageTransport {

    /**
     * Sets what takes the messages of a kind, which hears the message and the address of its sender.
     *
     * @param kind The kind.
     * @param taker What takes them.
     */
    void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> taker);

    /**
     * Sends a message.
     *
     * @param message The message.
     * @param receivers The addresses that it goes to.
     */
    void send(HostMessage message, Collection<NetworkAddress> receivers);
}
