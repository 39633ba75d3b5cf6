package org.cranberrygauge.decision.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * Prevents requests that crash backend servers from crashing more of them.
 *
 * <p>Implementations are thread-safe and lock-free. Times are monotonic, in milliseconds.
 */
public interface Quarantine {

    /** Returns the restrictions on a request that follow from its past crashes. */
    QuarantineStatus status(long nowMillis, RequestFingerprint fingerprint);

    /**
     * Returns whether a request may start on a backend server.
     *
     * @param healthyServers The number of healthy backend servers of its target.
     */
    boolean mayStart(long nowMillis, RequestFingerprint fingerprint, String server, int healthyServers);

    /** Records the start of a run. */
    void started(long nowMillis, RunId runId, String server);

    /** Records the end of a run, whatever its outcome. */
    void ended(RunId runId);

    /**
     * Records the crash of a backend server during a run.
     *
     * @param startedAtMillis The time at which the run started.
     */
    void crashed(long nowMillis, RequestFingerprint fingerprint, String server, long startedAtMillis);

    /** Records the completion of a request. */
    void completed(long nowMillis, RequestFingerprint fingerprint);

    /** Returns the observations to report to peers. */
    List<QuarantineObservation> observations(long nowMillis);

    /** Updates the state with the observations of a peer. */
    void recordReport(long nowMillis, String peer, Collection<QuarantineObservation> observations);

    /** Applies the rules of {@link QuarantineState}, whose instances are replaced atomically. */
    final class Default implements Quarantine {

        private final AtomicReference<QuarantineState> state;

        /** Creates a quarantine without any suspect. */
        public Default(QuarantineLimits limits) {
            state = new AtomicReference<>(QuarantineState.initial(limits));
        }

        @Override
        public QuarantineStatus status(long nowMillis, RequestFingerprint fingerprint) {
            return state.get().status(nowMillis, fingerprint);
        }

        @Override
        public boolean mayStart(long nowMillis, RequestFingerprint fingerprint, String server, int healthyServers) {
            return state.get().mayStart(nowMillis, fingerprint, server, healthyServers);
        }

        @Override
        public void started(long nowMillis, RunId runId, String server) {
            if (status(nowMillis, runId.fingerprint()) != QuarantineStatus.Clear.INSTANCE) {
                update(before -> before.withRun(runId, server));
            }
        }

        @Override
        public void ended(RunId runId) {
            update(before -> before.withoutRun(runId));
        }

        @Override
        public void crashed(long nowMillis, RequestFingerprint fingerprint, String server, long startedAtMillis) {
            update(before -> before.withCrash(nowMillis, fingerprint, server, startedAtMillis));
        }

        @Override
        public void completed(long nowMillis, RequestFingerprint fingerprint) {
            update(before -> before.withCompletion(nowMillis, fingerprint));
        }

        @Override
        public List<QuarantineObservation> observations(long nowMillis) {
            return state.get().observations(nowMillis);
        }

        @Override
        public void recordReport(long nowMillis, String peer, Collection<QuarantineObservation> observations) {
            update(before -> before.withPeer(nowMillis, peer, observations));
        }

        /**
         * Replaces the state atomically.
         *
         * @param change The change, which may be applied more than once.
         */
        private void update(UnaryOperator<QuarantineState> change) {
            state.updateAndGet(change);
        }
    }

    /** Suspects no request. A baseline without protection. */
    enum Disabled implements Quarantine {
        INSTANCE;

        @Override
        public QuarantineStatus status(long nowMillis, RequestFingerprint fingerprint) {
            return QuarantineStatus.Clear.INSTANCE;
        }

        @Override
        public boolean mayStart(long nowMillis, RequestFingerprint fingerprint, String server, int healthyServers) {
            return true;
        }

        @Override
        public void started(long nowMillis, RunId runId, String server) {
            // No state is kept.
        }

        @Override
        public void ended(RunId runId) {
            // No state is kept.
        }

        @Override
        public void crashed(long nowMillis, RequestFingerprint fingerprint, String server, long startedAtMillis) {
            // No state is kept.
        }

        @Override
        public void completed(long nowMillis, RequestFingerprint fingerprint) {
            // No state is kept.
        }

        @Override
        public List<QuarantineObservation> observations(long nowMillis) {
            return List.of();
        }

        @Override
        public void recordReport(long nowMillis, String peer, Collection<QuarantineObservation> observations) {
            // No state is kept.
        }
    }
}
