package org.cranberrygauge.proxy.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cranberrygauge.decision.backend.BackendLimits;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.backend.ColdServers;
import org.cranberrygauge.decision.backend.HeldPermits;

/**
 * A simulated fleet before cold backend servers, with virtual time and a seed. Each host has more requests than the cold
 * servers take, and reads the entry of a server some time after it was written. Not thread-safe.
 */
final class ColdFleet {

    private static final double PER_SECOND = 5.2;

    /** The requests that a cold server survives in one second. */
    private static final double SURVIVED_PER_SECOND = PER_SECOND * 1.5 + 5;

    private static final int WINDOW_MILLIS = 1_000;

    private static final int MAXIMUM_ENTRY_DELAY_MILLIS = 1_000;

    private static final int MAXIMUM_SEND_MILLIS = 40;

    /** The number of requests for one server that wait on a host at most. */
    private static final int MAXIMUM_WAITING = 5;

    /** The time that hosts have to hear of each other before servers start. */
    private static final int SETTLING_MILLIS = 2_000;

    /** The mean number of steps between faults of hosts. */
    private static final int STEPS_BETWEEN_FAULTS = 300;

    private final SplittableRandom random;

    private final SimulatedNetwork network;

    private final Map<SimulatedNetwork.Host, Node> nodes = new HashMap<>();

    /** The times of the requests that arrived within the last second, by server. */
    private final Map<String, Deque<Long>> arrivals = new HashMap<>();

    private final List<String> servers = new ArrayList<>();

    private final double demandPerSecond;

    /** The number of servers that ever started. */
    private int started;

    private int worst;

    private int served;

    /** @param demandPerSecond The requests per second of all hosts for each server. */
    ColdFleet(int hosts, double demandPerSecond, long seed) {
        this.random = new SplittableRandom(seed);
        this.demandPerSecond = demandPerSecond;
        this.network = new SimulatedNetwork(seed, host -> nodes.put(host, new Node(host)));
        for (int number = 0; number < hosts; number++) {
            network.join();
        }
        advance(SETTLING_MILLIS, false);
    }

    /** Starts servers that are cold for a time. */
    void startServers(int count, long coldMillis) {
        for (int number = 0; number < count; number++) {
            String server = "i-" + started++ + "/1";
            servers.add(server);
            nodes.values().forEach(node -> node.readEntryLater(server, network.now() + coldMillis));
        }
    }

    /** Removes all servers, so that their later requests don't count. */
    void retireServers() {
        servers.clear();
        nodes.values().forEach(node -> node.listed.clear());
        arrivals.clear();
    }

    /** Adds a host, which reads all entries at its start. */
    void join(long coldUntilMillis) {
        Node node = nodes.get(network.join());
        servers.forEach(server -> node.readEntryLater(server, coldUntilMillis));
    }

    long now() {
        return network.now();
    }

    void advance(long millis, boolean faults) {
        long end = network.now() + millis;
        while (network.now() < end) {
            if (faults && random.nextInt(STEPS_BETWEEN_FAULTS) == 0) {
                network.harmOne();
            }
            network.step();
            nodes.values().forEach(Node::step);
        }
    }

    /** Returns by how many requests the worst second of a server exceeds what it survives; not above 0 if none does. */
    double worstExcess() {
        return worst - SURVIVED_PER_SECOND;
    }

    int served() {
        return served;
    }

    private void arrive(String server) {
        if (!servers.contains(server)) {
            return;
        }
        Deque<Long> recent = arrivals.computeIfAbsent(server, name -> new ArrayDeque<>());
        recent.add(network.now());
        while (network.now() - recent.peek() >= WINDOW_MILLIS) {
            recent.remove();
        }
        worst = Math.max(worst, recent.size());
        served++;
    }

    /** What one host knows. */
    private final class Node {

        private final SimulatedNetwork.Host host;

        private final ColdServers cold = new ColdServers(pool -> PER_SECOND);

        private final BackendLimits limits = new BackendLimits(new BackendStatements(), cold);

        private final HeldPermits permits = new HeldPermits();

        private final PermitExchange exchange;

        private final List<String> listed = new ArrayList<>();

        /** The number of requests that wait, by server. */
        private final Map<String, Integer> waiting = new HashMap<>();

        Node(SimulatedNetwork.Host host) {
            this.host = host;
            this.exchange = new PermitExchange(network.timeline(), host.peers(), host, limits, permits, () -> {});
        }

        void readEntryLater(String server, long coldUntilMillis) {
            network.timeline()
                    .after(
                            1 + random.nextInt(MAXIMUM_ENTRY_DELAY_MILLIS),
                            () -> host.whenAwake(() -> readEntry(server, coldUntilMillis)));
        }

        private void readEntry(String server, long coldUntilMillis) {
            if (!servers.contains(server)) {
                return;
            }
            listed.add(server);
            cold.observe(network.now(), "engines", server, coldUntilMillis - network.now());
        }

        void step() {
            if (host.isFrozen()) {
                return;
            }
            listed.forEach(this::sendWaiting);
            double chance = demandPerSecond * SimulatedNetwork.STEP_MILLIS / 1_000 / nodes.size();
            for (String server : listed) {
                if (random.nextDouble() < chance) {
                    waiting.merge(server, 1, (count, added) -> Math.min(MAXIMUM_WAITING, count + added));
                }
            }
        }

        private void sendWaiting(String server) {
            if (waiting.getOrDefault(server, 0) == 0) {
                return;
            }
            boolean open = limits.perSecond(network.now(), server).isEmpty() || permits.use(network.now(), server);
            if (open) {
                waiting.merge(server, -1, Integer::sum);
                network.timeline().after(1 + random.nextInt(MAXIMUM_SEND_MILLIS), () -> arrive(server));
            } else if (permits.mayRequest(network.now(), server)) {
                permits.recordRequest(network.now(), server);
                exchange.request(server);
            }
        }
    }
}
