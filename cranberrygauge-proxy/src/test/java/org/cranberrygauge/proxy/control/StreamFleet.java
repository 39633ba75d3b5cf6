package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.proxy.stream.StreamOrigin;

/**
 * A simulated fleet that keeps the origins of streams, with virtual time and a seed. Messages take some milliseconds and a
 * few are lost. Not thread-safe.
 */
final class StreamFleet {

    private static final int REPORT_MILLIS = 200;

    private static final double MESSAGE_LOSS = 0.03;

    private static final int MAXIMUM_MESSAGE_MILLIS = 12;

    private final SplittableRandom random;

    private final VirtualTimeline timeline = new VirtualTimeline();

    private final List<Host> hosts = new ArrayList<>();

    /** The messages that were sent about streams. */
    private int streamMessages;

    /** Creates a fleet whose hosts know each other. */
    StreamFleet(int size, long seed) {
        random = new SplittableRandom(seed);
        for (int number = 0; number < size; number++) {
            hosts.add(new Host(number));
        }
        advance(2 * REPORT_MILLIS);
    }

    void begin(int host, String stream, StreamOrigin origin) {
        hosts.get(host).exchange.record(stream, origin);
    }

    /** Looks a stream up and returns what the host has found out. */
    Optional<StreamOrigin> find(int host, String stream) {
        List<Optional<StreamOrigin>> found = new ArrayList<>();
        Consumer<Optional<StreamOrigin>> receiver = found::add;
        hosts.get(host).exchange.find(stream, receiver);
        advance(REPORT_MILLIS);
        if (found.size() != 1) {
            throw new IllegalStateException("a lookup was answered " + found.size() + " times");
        }
        return found.get(0);
    }

    /** Starts a host anew, so that it knows nothing but the addresses of the others. */
    void restart(int host) {
        hosts.set(host, new Host(host));
    }

    void freeze(int host) {
        hosts.get(host).frozen = true;
    }

    /** Adds a host that knows the addresses of the others. */
    int join() {
        hosts.add(new Host(hosts.size()));
        return hosts.size() - 1;
    }

    int size() {
        return hosts.size();
    }

    int streamMessages() {
        return streamMessages;
    }

    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += REPORT_MILLIS) {
            hosts.forEach(Host::report);
            timeline.advance(Math.min(REPORT_MILLIS, millis - passed));
        }
    }

    private static NetworkAddress address(int host) {
        return new NetworkAddress("10.0.0." + host, 1);
    }

    /** One host. */
    private final class Host implements MessageTransport {

        private final int number;

        private final long startedMillis = timeline.monotonicMillis();

        private final Map<HostMessage._Fields, BiConsumer<HostMessage, NetworkAddress>> handlers =
                new EnumMap<>(HostMessage._Fields.class);

        private final PeerDirectory peers;

        private final StreamOriginExchange exchange;

        private long sequence;

        private boolean frozen;

        Host(int number) {
            this.number = number;
            peers = new PeerDirectory(name(), "east");
            exchange = new StreamOriginExchange(timeline, timeline::after, peers, this);
            onMessage(
                    HostMessage._Fields.REPORT,
                    (message, sender) -> peers.update(timeline.monotonicMillis(), message.getReport(), sender));
            hosts.forEach(other -> peers.addHost(timeline.monotonicMillis(), other.name(), address(other.number)));
        }

        private String name() {
            return "host-" + number;
        }

        @Override
        public void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> handler) {
            handlers.put(kind, handler);
        }

        @Override
        public void send(HostMessage message, Collection<NetworkAddress> receivers) {
            for (Host receiver : hosts) {
                if (receivers.contains(address(receiver.number))) {
                    streamMessages += message.isSetReport() ? 0 : 1;
                    sendTo(receiver, message);
                }
            }
        }

        private void sendTo(Host receiver, HostMessage message) {
            if (random.nextDouble() < MESSAGE_LOSS) {
                return;
            }
            timeline.after(1 + random.nextInt(MAXIMUM_MESSAGE_MILLIS), () -> {
                Host current = hosts.get(receiver.number);
                if (!current.frozen && current == receiver) {
                    current.handlers.get(message.getSetField()).accept(message, address(number));
                }
            });
        }

        private void report() {
            if (frozen) {
                return;
            }
            HostReport report =
                    new HostReport(name(), startedMillis, ++sequence, Map.of(), List.of(), List.of(), "east", true);
            hosts.stream().filter(other -> other != this).forEach(other -> sendTo(other, HostMessage.report(report)));
        }
    }
}
