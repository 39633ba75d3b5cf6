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
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.state.ProcessState;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Exchanges reports with all peers, each on a thread of its own so that a frozen peer delays no other.
 *
 * <p>Safe for use by several threads.
 */
public final class PeerExchange {

    /** The threads, one a peer. */
    private final List<ScheduledExecutorService> threads = new CopyOnWriteArrayList<>();

    /** The clients, one a peer, in the order of the threads. */
    private final List<PeerClient> clients = new CopyOnWriteArrayList<>();

    /** The time between two exchanges with a peer in milliseconds. */
    private final long intervalMillis;

    /** Creates a client. */
    private final Function<NetworkAddress, PeerClient> factory;

    /**
     * Starts to exchange.
     *
     * @param peers The addresses of the peers.
     * @param intervalMillis The time between two exchanges with a peer in milliseconds.
     * @param service The service that takes reports in.
     * @param ownReport Builds the report of this gateway.
     * @param usageCopies Gives copies of usage to a peer.
     * @param blackboard The blackboard.
     * @param follower The follower of the log.
     * @param time The sources of time.
     */
    public PeerExchange(
            List<NetworkAddress> peers,
            long intervalMillis,
            ExchangeService service,
            Supplier<GatewayReport> ownReport,
            UsageReplicator usageCopies,
            ProcessState blackboard,
            LogFollower follower,
            TimeSource time) {
        this.intervalMillis = intervalMillis;
        this.factory = peer -> new PeerClient(peer, service, ownReport, usageCopies, blackboard, follower, time);
        peers.forEach(this::add);
    }

    /**
     * Adds a peer.
     *
     * @param peer The address of its exchange.
     */
    public void add(NetworkAddress peer) {
        PeerClient client = factory.apply(peer);
        ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(work -> {
            Thread created = new Thread(work, "exchange-" + peer);
            created.setDaemon(true);
            return created;
        });
        thread.scheduleWithFixedDelay(client::exchange, 0, intervalMillis, TimeUnit.MILLISECONDS);
        clients.add(client);
        threads.add(thread);
    }

    /** Exchanges with each peer now, in addition to the regular times. */
    public void exchangeNow() {
        for (int index = 0; index < clients.size(); index++) {
            PeerClient client = clients.get(index);
            if (!threads.get(index).isShutdown()) {
                threads.get(index).execute(client::exchange);
            }
        }
    }

    /** Stops to exchange. */
    public void stop() {
        threads.forEach(ScheduledExecutorService::shutdownNow);
    }
}
