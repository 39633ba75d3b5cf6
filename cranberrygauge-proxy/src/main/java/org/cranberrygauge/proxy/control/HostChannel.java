package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.apache.thrift.TException;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;

/**
 * The socket through which this host and the others send each other datagrams.
 *
 * <p>What can't be understood is logged and dropped. Used by one thread.
 */
public final class HostChannel implements MessageTransport {

    /** The size of the receive buffer in bytes, which also bounds a datagram: a larger one would be cut off. */
    private static final int RECEIVE_BYTES = 128 * 1024;

    /** The tools. */
    private final ControllerContext tools;

    /** The address at which this host takes datagrams. */
    private final NetworkAddress address;

    /** What takes the messages, by their kind. */
    private final Map<HostMessage._Fields, BiConsumer<HostMessage, NetworkAddress>> takers =
            new EnumMap<>(HostMessage._Fields.class);

    /** The socket. */
    private final DatagramSocket socket;

    /**
     * Creates a channel.
     *
     * @param tools The tools.
     * @param address The address at which this host takes datagrams.
     */
    public HostChannel(ControllerContext tools, NetworkAddress address) {
        this.tools = tools;
        this.address = address;
        this.socket =
                tools.vertx().createDatagramSocket(new DatagramSocketOptions().setReceiveBufferSize(RECEIVE_BYTES));
    }

    /**
     * Returns the port at which this host takes datagrams, once the channel has started.
     *
     * @return The port.
     */
    int port() {
        return socket.localAddress().port();
    }

    @Override
    public void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> taker) {
        takers.put(kind, taker);
    }

    /**
     * Starts to take datagrams.
     *
     * @return The end of the start.
     */
    public Future<Void> start() {
        return socket.handler(this::receive)
                .listen(address.port(), address.host())
                .mapEmpty();
    }

    @Override
    public void send(HostMessage message, Collection<NetworkAddress> receivers) {
        Buffer bytes = Buffer.buffer(MessageCodec.write(message));
        for (NetworkAddress receiver : receivers) {
            socket.send(bytes, receiver.port(), receiver.host());
        }
    }

    /**
     * Takes a datagram.
     *
     * @param packet The datagram.
     */
    private void receive(DatagramPacket packet) {
        try {
            HostMessage message = MessageCodec.read(packet.data().getBytes(), new HostMessage());
            BiConsumer<HostMessage, NetworkAddress> taker = takers.get(message.getSetField());
            if (taker == null) {
                return;
            }
            taker.accept(
                    message,
                    new NetworkAddress(packet.sender().host(), packet.sender().port()));
        } catch (TException exception) {
            tools.events().emit(new ControlEvents.RecordUnreadable("datagram", "", exception.getMessage()));
        }
    }
}
