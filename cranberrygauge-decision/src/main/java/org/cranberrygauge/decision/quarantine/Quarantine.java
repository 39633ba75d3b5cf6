package org.cranberrygauge.decision.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * Keeps requests that crash backend servers from crashing more of them.
 *
 * <p>Implementations are safe for use by several threads without locks.
 */
public interface Quarantine {

    /**
     * Tells what a request may do.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The request.
     * @return Its standing.
     */
    QuarantineStatus standing(long nowMillis, RequestFingerprint fingerprint);

    /**
     * Tells whether a request may start on a backend server.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The request.
     * @param server The name of the backend server.
     * @param healthyServers The number of healthy backend servers of its target.
     * @return Whether it may.
     */
    boolean mayStart(long nowMillis, RequestFingerprint fingerprint, String server, int healthyServers);

    /**
     * Notes that a run started.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param runId The run.
     * @param server The name of the backend server.
     */
    void started(long nowMillis, RunId runId, String server);

    /**
     * Notes that a run ended, however it did.
     *
     * @param runId The run.
     */
    void ended(RunId runId);

    /**
     * Notes that a backend server crashed during a run.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The request.
     * @param server The name of the backend server.
     * @param startedAtMillis The time at which the run started.
     */
    void crashed(long nowMillis, RequestFingerprint fingerprint, String server, long startedAtMillis);

    /**
     * Notes that a request was completed.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The request.
     */
    void completed(long nowMillis, RequestFingerprint fingerprint);

    /**
     * Lists what peers are told.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The observations.
     */
    List<QuarantineObservation> observations(long nowMillis);

    /**
     * Takes in what a peer told.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param peer The incarnation of the peer.
     * @param observations What it told.
     */
    void heard(long nowMillis, String peer, Collection<QuarantineObservation> observations);

    /** Suspects, isolates and holds requests as the state says, which is replaced whole. */
    final class Default implements Quarantine {

        /** The state. */
        private final AtomicReference<QuarantineState> state;

        /**
         * Creates a quarantine without any suspect.
         *
         * @param limits The limits.
         */
        public Default(QuarantineLimits limits) {
            state = new AtomicReference<>(QuarantineState.initial(limits));
        }

        @Override
        public QuarantineStatus standing(long nowMillis, RequestFingerprint fingerprint) {
            return state.get().standing(nowMillis, fingerprint);
        }

        @Override
        public boolean mayStart(long nowMillis, RequestFingerprint fingerprint, String server, int healthyServers) {
            return state.get().mayStart(nowMillis, fingerprint, server, healthyServers);
        }

        @Override
        public void started(long nowMillis, RunId runId, String server) {
            if (standing(nowMillis, runId.fingerprint()) != QuarantineStatus.Clear.INSTANCE) {
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
        public void heard(long nowMillis, String peer, Collection<QuarantineObservation> observations) {
            update(before -> before.withPeer(nowMillis, peer, observations));
        }

        /**
         * Replaces the state.
         *
         * @param change The change, which may be made more than once.
         */
        private void update(UnaryOperator<QuarantineState> change) {
            state.updateAndGet(change);
        }
    }

    /** Suspects nothing, which is the baseline without protection. */
    enum Disabled implements Quarantine {
        /** The only instance. */
        INSTANCE;

        @Override
        public QuarantineStatus standing(long nowMillis, RequestFingerprint fingerprint) {
            return QuarantineStatus.Clear.INSTANCE;
        }

        @Override
        public boolean mayStart(long nowMillis, RequestFingerprint fingerprint, String server, int healthyServers) {
            return true;
        }

        @Override
        public void started(long nowMillis, RunId runId, String server) {
            // Nothing is noted.
        }

        @Override
        public void ended(RunId runId) {
            // Nothing is noted.
        }

        @Override
        public void crashed(long nowMillis, RequestFingerprint fingerprint, String server, long startedAtMillis) {
            // Nothing is noted.
        }

        @Override
        public void completed(long nowMillis, RequestFingerprint fingerprint) {
            // Nothing is noted.
        }

        @Override
        public List<QuarantineObservation> observations(long nowMillis) {
            return List.of();
        }

        @Override
        public void heard(long nowMillis, String peer, Collection<QuarantineObservation> observations) {
            // Nothing is noted.
        }
    }
}
