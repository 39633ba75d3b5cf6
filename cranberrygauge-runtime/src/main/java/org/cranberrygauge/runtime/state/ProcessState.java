package org.cranberrygauge.runtime.state;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.configuration.Configuration;

/**
 * What one process knows, in immutable sections that are replaced whole.
 *
 * <p>Invariants: a reader sees each section as some writer published it; each section has one writer, but for the
 * position in the log, which only grows. Safe for use by
 * several threads without locks.
 */
public final class ProcessState {

    /** The sections that follow from the log. */
    private final AtomicReference<LogDerivedState> log = new AtomicReference<>(LogDerivedState.initial());

    /** How far the log is read. */
    private final AtomicReference<LogPosition> position;

    /** The backend servers as the platform lists them. */
    private final AtomicReference<List<ListedBackendServer>> listed = new AtomicReference<>(List.of());

    /** The last report of each peer, by host. */
    private final Map<String, PeerReport> peers = new ConcurrentHashMap<>();

    /**
     * Creates a blackboard.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public ProcessState(long nowMillis) {
        position = new AtomicReference<>(new LogPosition(0, nowMillis));
    }

    /**
     * Returns the sections that follow from the log.
     *
     * @return The sections.
     */
    public LogDerivedState log() {
        return log.get();
    }

    /**
     * Returns the configuration in force.
     *
     * @return The configuration.
     */
    public Configuration configuration() {
        return log.get().configuration().current().configuration();
    }

    /**
     * Publishes the sections that follow from the log.
     *
     * @param sections The sections.
     */
    public void publish(LogDerivedState sections) {
        log.set(sections);
    }

    /**
     * Returns how far the log is read.
     *
     * @return The position.
     */
    public LogPosition position() {
        return position.get();
    }

    /**
     * Publishes how far the log is read; neither part ever falls.
     *
     * @param reached The position.
     */
    public void publish(LogPosition reached) {
        position.accumulateAndGet(reached, LogPosition::maximum);
    }

    /**
     * Returns the backend servers as the platform lists them.
     *
     * @return The list.
     */
    public List<ListedBackendServer> listed() {
        return listed.get();
    }

    /**
     * Publishes the backend servers as the platform lists them.
     *
     * @param servers The list.
     */
    public void publish(List<ListedBackendServer> servers) {
        listed.set(List.copyOf(servers));
    }

    /**
     * Returns the last report of each peer.
     *
     * @return The reports by host.
     */
    public Map<String, PeerReport> peers() {
        return peers;
    }
}
