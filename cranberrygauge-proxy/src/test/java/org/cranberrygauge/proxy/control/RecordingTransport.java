package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;

/** The transport of one host, which keeps what the host sends and delivers what a test wants. Not thread-safe. */
final class RecordingTransport implements MessageTransport {

    private final Map<HostMessage._Fields, BiConsumer<HostMessage, NetworkAddress>> handlers =
            new EnumMap<>(HostMessage._Fields.class);

    private final List<HostMessage> sent = new ArrayList<>();

    @Override
    public void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> handler) {
        handlers.put(kind, handler);
    }

    @Override
    public void send(HostMessage message, Collection<NetworkAddress> receivers) {
        sent.add(message);
    }

    HostMessage lastSent() {
        return sent.get(sent.size() - 1);
    }

    void deliver(HostMessage message, NetworkAddress sender) {
        handlers.get(message.getSetField()).accept(message, sender);
    }
}
