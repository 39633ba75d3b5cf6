package org.cranberrygauge.runtime.blackboard;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.configuration.Configuration;

/**
 * The blackboard of a process: the state shared by its components, in immutable sections that are replaced as a whole.
 *
 * <p>Invariants: a reader sees each section exactly as it was published; each section has one writer, except the
 * position in the log, which only increases. Safe for use by several threads without locks.
 */
public final class Blackboard {

    private final AtomicReference<LogDerivedState> log = new AtomicReference<>(LogDerivedState.initial());

    private final AtomicReference<LogPosition> position;

    /** The backend servers as listed by the platform. */
    private final AtomicReference<List<ListedBackendServer>> listed = new AtomicReference<>(List.of());

    /** The last report of each peer by host. */
    private final Map<String, PeerReport> peers = new ConcurrentHashMap<>();

    /**
     * Creates the state before anything was read.
     *
     * @param nowMillis The monotonic time in milliseconds, from which freshness is counted initially.
     */
    public Blackboard(long nowMillis) {
        position = new AtomicReference<>(new LogPosition(0, nowMillis));
    }

    /** Returns the state derived from the log. */
    public LogDerivedState log() {
        return log.get();
    }

    /** Returns the current configuration. */
    public Configuration configuration() {
        return log.get().configuration().current().configuration();
    }

    /** Publishes the state derived from the log. */
    public void publish(LogDerivedState derivedState) {
        log.set(derivedState);
    }

    /** Returns the position up to which the log has been read. */
    public LogPosition position() {
        return position.get();
    }

    /** Publishes the position up to which the log has been read; neither component ever decreases. */
    public void publish(LogPosition latestPosition) {
        position.accumulateAndGet(latestPosition, LogPosition::maximum);
    }

    /** Returns the backend servers as listed by the platform. */
    public List<ListedBackendServer> listedBackendServers() {
        return listed.get();
    }

    /** Publishes the backend servers as listed by the platform. */
    public void publish(List<ListedBackendServer> servers) {
        listed.set(List.copyOf(servers));
    }

    /** Returns the last report of each peer by host. The map may be modified concurrently. */
    public Map<String, PeerReport> peers() {
        return peers;
    }
}
