package org.cranberrygauge.gateway.exchange;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cranberrygauge.gateway.usage.UsageReplicator;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Exchanges reports with all peers, each on its own thread so that an unresponsive peer does not delay the others.
 *
 * <p>Safe for use by several threads.
 */
public final class PeerExchange {

    /** The threads, one per peer. */
    private final List<ScheduledExecutorService> executors = new CopyOnWriteArrayList<>();

    /** The clients, one per peer, in the order of the threads. */
    private final List<PeerClient> clients = new CopyOnWriteArrayList<>();

    private final long intervalMillis;

    private final Function<NetworkAddress, PeerClient> factory;

    /**
     * Starts exchanging reports.
     *
     * @param intervalMillis The delay between two exchanges with a peer in milliseconds.
     * @param ownReport Builds the report of this gateway.
     */
    public PeerExchange(
            List<NetworkAddress> peers,
            long intervalMillis,
            ExchangeService service,
            Supplier<GatewayReport> ownReport,
            UsageReplicator usageReplicator,
            Blackboard blackboard,
            LogFollower follower,
            TimeSource time) {
        this.intervalMillis = intervalMillis;
        this.factory = peer -> new PeerClient(peer, service, ownReport, usageReplicator, blackboard, follower, time);
        peers.forEach(this::add);
    }

    /** Adds a peer, given by the address of its exchange server. */
    public void add(NetworkAddress peer) {
        PeerClient client = factory.apply(peer);
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(work -> {
            Thread created = new Thread(work, "exchange-" + peer);
            created.setDaemon(true);
            return created;
        });
        executor.scheduleWithFixedDelay(client::exchange, 0, intervalMillis, TimeUnit.MILLISECONDS);
        clients.add(client);
        executors.add(executor);
    }

    /** Exchanges reports with each peer as soon as possible, in addition to the periodic exchanges. */
    public void exchangeNow() {
        for (int index = 0; index < clients.size(); index++) {
            PeerClient client = clients.get(index);
            if (!executors.get(index).isShutdown()) {
                executors.get(index).execute(client::exchange);
            }
        }
    }

    public void stop() {
        executors.forEach(ScheduledExecutorService::shutdownNow);
    }
}
