package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import java.util.Optional;
import org.cranberrygauge.decision.dispatch.Eligibility;
import org.cranberrygauge.decision.quarantine.Quarantine;
import org.cranberrygauge.decision.quarantine.RequestFingerprint;
import org.cranberrygauge.decision.quarantine.RunId;
import org.cranberrygauge.decision.quarantine.Standing;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Applies the quarantine to the requests of a gateway.
 *
 * <p>Invariants: a request whose backend server was lost is tried again only after it is known whether the server
 * crashed; peers are told of a crash before the request is tried again. Safe for use by several threads.
 */
public final class CrashGuard {

    /** The quarantine. */
    private final Quarantine quarantine;

    /** Tells crashes from broken connections. */
    private final CrashDetector detector;

    /** The sources of time. */
    private final TimeSource time;

    /** Tells the peers at once. */
    private final Runnable tellPeers;

    /**
     * Creates a guard.
     *
     * @param quarantine The quarantine.
     * @param detector Tells crashes from broken connections.
     * @param time The sources of time.
     * @param tellPeers Tells the peers at once.
     */
    public CrashGuard(Quarantine quarantine, CrashDetector detector, TimeSource time, Runnable tellPeers) {
        this.quarantine = quarantine;
        this.detector = detector;
        this.time = time;
        this.tellPeers = tellPeers;
    }

    /**
     * Tells whether a request is to be refused.
     *
     * @param fingerprint The request.
     * @return The failure, whose claim of "not run" holds for a request that was not sent, or nothing.
     */
    Optional<RequestFailure> refusal(RequestFingerprint fingerprint) {
        Standing standing = quarantine.standing(time.monotonicMillis(), fingerprint);
        if (standing instanceof Standing.Quarantined held) {
            return Optional.of(RequestFailure.notRun(
                            ErrorCode.QUARANTINED,
                            "backend servers crashed while they ran this request; it is held in quarantine")
                    .withRetryAfter(held.remainingMillis()));
        }
        return Optional.empty();
    }

    /**
     * Tells on which backend servers a request may start.
     *
     * @param fingerprint The request.
     * @return The eligibility, which follows the standing of the request.
     */
    Eligibility eligibility(RequestFingerprint fingerprint) {
        return new Eligibility() {

            @Override
            public boolean isRestricted() {
                return quarantine.standing(time.monotonicMillis(), fingerprint) != Standing.Clear.INSTANCE;
            }

            @Override
            public boolean allows(BackendServer server, int healthyServers) {
                return quarantine.mayStart(time.monotonicMillis(), fingerprint, server.name(), healthyServers);
            }
        };
    }

    /**
     * Notes that a run started.
     *
     * @param run The run.
     * @param server The backend server.
     */
    void started(RunId run, BackendServer server) {
        quarantine.started(time.monotonicMillis(), run, server.name());
    }

    /**
     * Notes that a run ended, however it did.
     *
     * @param run The run.
     */
    void ended(RunId run) {
        quarantine.ended(run);
    }

    /**
     * Notes that a request was completed.
     *
     * @param fingerprint The request.
     */
    void completed(RequestFingerprint fingerprint) {
        quarantine.completed(time.monotonicMillis(), fingerprint);
    }

    /**
     * Finds out whether a backend server crashed during a run, and notes it.
     *
     * @param fingerprint The request.
     * @param server The backend server to which the connection was lost.
     * @param startedAtMillis The monotonic time at which the run started in milliseconds.
     * @return Whether it crashed.
     */
    Future<Boolean> lost(RequestFingerprint fingerprint, BackendServer server, long startedAtMillis) {
        long lostAtMillis = time.monotonicMillis();
        return detector.judge(server).onSuccess(crashed -> {
            if (crashed) {
                quarantine.crashed(lostAtMillis, fingerprint, server.name(), startedAtMillis);
                tellPeers.run();
            }
        });
    }
}
