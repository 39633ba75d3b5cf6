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
 * The datagram socket through which hosts exchange messages.
 *
 * <p>Messages that can't be decoded are logged and dropped. Not thread-safe.
 */
public final class HostChannel implements MessageTransport {

    /** The size of the receive buffer; it also bounds a datagram, since a larger one would be truncated. */
    private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

    private final ControllerContext context;

    private final NetworkAddress address;

    private final Map<HostMessage._Fields, BiConsumer<HostMessage, NetworkAddress>> handlers =
            new EnumMap<>(HostMessage._Fields.class);

    private final DatagramSocket socket;

    public HostChannel(ControllerContext context, NetworkAddress address) {
        this.context = context;
        this.address = address;
        this.socket = context.vertx()
                .createDatagramSocket(new DatagramSocketOptions().setReceiveBufferSize(RECEIVE_BUFFER_BYTES));
    }

    /** Returns the bound port, once the channel has started. */
    int port() {
        return socket.localAddress().port();
    }

    @Override
    public void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> handler) {
        handlers.put(kind, handler);
    }

    /** Binds the socket and starts to receive datagrams. */
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

    private void receive(DatagramPacket packet) {
        try {
            HostMessage message = MessageCodec.read(packet.data().getBytes(), new HostMessage());
            BiConsumer<HostMessage, NetworkAddress> handler = handlers.get(message.getSetField());
            if (handler == null) {
                return;
            }
            handler.accept(
                    message,
                    new NetworkAddress(packet.sender().host(), packet.sender().port()));
        } catch (TException exception) {
            context.events().emit(new ControlEvents.RecordUnreadable("datagram", "", exception.getMessage()));
        }
    }
}
