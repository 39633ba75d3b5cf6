package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;

/**
 * The network between simulated hosts, with virtual time and a seed. Messages take some milliseconds and a few are lost;
 * hosts freeze, restart, join and are cut off from each other. Not thread-safe.
 */
final class SimulatedNetwork {

    /** The time that one step simulates. */
    static final int STEP_MILLIS = 5;

    private static final int REPORT_MILLIS = 200;

    private static final double MESSAGE_LOSS = 0.03;

    private static final int MAXIMUM_MESSAGE_MILLIS = 12;

    private static final int MINIMUM_FAULT_MILLIS = 300;

    private static final int MAXIMUM_FAULT_MILLIS = 5_000;

    private final VirtualTimeline timeline = new VirtualTimeline();

    private final SplittableRandom random;

    private final List<Host> hosts = new ArrayList<>();

    /** Called when a host has started, with no state but the network. */
    private final Consumer<Host> onStart;

    SimulatedNetwork(long seed, Consumer<Host> onStart) {
        this.random = new SplittableRandom(seed);
        this.onStart = onStart;
    }

    /** Adds a host. */
    Host join() {
        Host host = new Host(hosts.size());
        hosts.add(host);
        host.restart();
        return host;
    }

    List<Host> hosts() {
        return hosts;
    }

    VirtualTimeline timeline() {
        return timeline;
    }

    long now() {
        return timeline.monotonicMillis();
    }

    /** Advances the time by one step. */
    void step() {
        timeline.advance(STEP_MILLIS);
        hosts.forEach(Host::step);
    }

    /** Lets something befall a random host: it freezes, is cut off from the others, or restarts. */
    void harmOne() {
        Host host = hosts.get(random.nextInt(hosts.size()));
        long until = now() + MINIMUM_FAULT_MILLIS + random.nextInt(MAXIMUM_FAULT_MILLIS);
        host.faultEndMillis = until;
        switch (random.nextInt(3)) {
            case 0 -> host.frozenUntilMillis = until;
            case 1 -> host.cutUntilMillis = until;
            default -> host.restart();
        }
    }

    private static NetworkAddress address(int host) {
        return new NetworkAddress("host", host);
    }

    private static int hostNumber(NetworkAddress address) {
        return address.port();
    }

    /** One host. */
    final class Host implements MessageTransport {

        private final int number;

        private final NetworkAddress address;

        private final Map<HostMessage._Fields, BiConsumer<HostMessage, NetworkAddress>> handlers =
                new EnumMap<>(HostMessage._Fields.class);

        private PeerDirectory peers;

        private long startedMillis;

        private long sequence;

        private long frozenUntilMillis;

        private long cutUntilMillis;

        /** The end of the last fault of this host, or its start. */
        private long faultEndMillis;

        /** What is due once the host is no longer frozen. */
        private final List<Runnable> backlog = new ArrayList<>();

        private Host(int number) {
            this.number = number;
            this.address = address(number);
        }

        int number() {
            return number;
        }

        PeerDirectory peers() {
            return peers;
        }

        boolean isFrozen() {
            return now() < frozenUntilMillis;
        }

        /** Tells whether nothing has befallen the host for a time. */
        boolean isCalmFor(long millis) {
            return now() - faultEndMillis > millis;
        }

        /** Starts the host anew; it knows the addresses of the others. */
        void restart() {
            startedMillis = now();
            faultEndMillis = now();
            sequence = 0;
            backlog.clear();
            handlers.clear();
            peers = new PeerDirectory(name(), "east");
            handlers.put(
                    HostMessage._Fields.REPORT, (message, sender) -> peers.update(now(), message.getReport(), sender));
            hosts.stream()
                    .filter(other -> other != this)
                    .forEach(other -> peers.addHost(now(), other.name(), address(other.number)));
            onStart.accept(this);
        }

        /** Runs an action now, or once the host is no longer frozen. */
        void whenAwake(Runnable action) {
            if (isFrozen()) {
                backlog.add(action);
            } else {
                action.run();
            }
        }

        @Override
        public void onMessage(HostMessage._Fields kind, BiConsumer<HostMessage, NetworkAddress> handler) {
            handlers.put(kind, handler);
        }

        @Override
        public void send(HostMessage message, Collection<NetworkAddress> receivers) {
            for (NetworkAddress receiver : receivers) {
                sendTo(hosts.get(hostNumber(receiver)), message);
            }
        }

        private String name() {
            return "host-" + number;
        }

        private void step() {
            if (isFrozen()) {
                return;
            }
            List<Runnable> due = List.copyOf(backlog);
            backlog.clear();
            due.forEach(Runnable::run);
            if ((now() + 35L * number) % REPORT_MILLIS < STEP_MILLIS) {
                HostReport report =
                        new HostReport(name(), startedMillis, ++sequence, Map.of(), List.of(), List.of(), "east", true);
                hosts.stream()
                        .filter(other -> other != this)
                        .forEach(other -> sendTo(other, HostMessage.report(report)));
            }
        }

        private void sendTo(Host receiver, HostMessage message) {
            boolean cut = now() < cutUntilMillis || now() < receiver.cutUntilMillis;
            if (cut || random.nextDouble() < MESSAGE_LOSS) {
                return;
            }
            timeline.after(
                    1 + random.nextInt(MAXIMUM_MESSAGE_MILLIS),
                    () -> receiver.whenAwake(() -> {
                        BiConsumer<HostMessage, NetworkAddress> handler = receiver.handlers.get(message.getSetField());
                        if (handler != null) {
                            handler.accept(message, address);
                        }
                    }));
        }
    }
}
