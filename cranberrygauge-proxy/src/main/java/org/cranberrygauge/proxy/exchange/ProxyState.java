package org.cranberrygauge.proxy.exchange;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.proxy.backend.BackendSnapshot;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.routing.PeerLoads;

/**
 * What the host believes, written by its controllers and read on the path of each request.
 *
 * <p>Each value is immutable and replaced as a whole. Safe for use by several threads.
 */
public final class ProxyState {

    /** The configuration. */
    private final AtomicReference<ConfigurationView> configuration = new AtomicReference<>(ConfigurationView.NONE);

    /** The backend servers. */
    private final AtomicReference<BackendSnapshot> backends = new AtomicReference<>(BackendSnapshot.UNKNOWN);

    /** The work of the other hosts. */
    private final AtomicReference<PeerLoads> peers = new AtomicReference<>(PeerLoads.NO_PEERS);

    /** The requests in progress. */
    private final AtomicInteger active = new AtomicInteger();

    /** The time that a host which drains still takes requests, in milliseconds; by then the balancer has noticed. */
    private static final long TAKES_WHILE_DRAINING_MILLIS = 2_800;

    /** Whether the host drains. */
    private volatile boolean draining;

    /** The monotonic time at which the host began to drain. */
    private volatile long drainingSinceMillis;

    /**
     * Returns the configuration.
     *
     * @return The configuration.
     */
    public ConfigurationView configuration() {
        return configuration.get();
    }

    /**
     * Replaces the configuration.
     *
     * @param view The configuration.
     */
    public void publish(ConfigurationView view) {
        configuration.set(view);
    }

    /**
     * Returns the backend servers.
     *
     * @return The backend servers.
     */
    public BackendSnapshot backends() {
        return backends.get();
    }

    /**
     * Replaces the backend servers.
     *
     * @param catalogue The backend servers.
     */
    public void publish(BackendSnapshot catalogue) {
        backends.set(catalogue);
    }

    /**
     * Returns the work of the other hosts.
     *
     * @return The work.
     */
    public PeerLoads peers() {
        return peers.get();
    }

    /**
     * Replaces the work of the other hosts.
     *
     * @param loads The work.
     */
    public void publish(PeerLoads loads) {
        peers.set(loads);
    }

    /**
     * Returns the count of requests in progress.
     *
     * @return The count.
     */
    public AtomicInteger active() {
        return active;
    }

    /**
     * Notes that the host drains.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public void drain(long nowMillis) {
        drainingSinceMillis = nowMillis;
        draining = true;
    }

    /**
     * Tells whether the host is so near its end that it takes no more requests.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return Whether it takes no more requests.
     */
    public boolean closing(long nowMillis) {
        return draining && nowMillis - drainingSinceMillis > TAKES_WHILE_DRAINING_MILLIS;
    }

    /**
     * Tells whether the host drains.
     *
     * @return Whether it drains.
     */
    public boolean draining() {
        return draining;
    }
}
