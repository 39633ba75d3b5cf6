package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;
import org.cranberrygauge.decision.dispatch.Eligibility;
import org.cranberrygauge.decision.quarantine.Quarantine;
import org.cranberrygauge.decision.quarantine.QuarantineStatus;
import org.cranberrygauge.decision.quarantine.RequestFingerprint;
import org.cranberrygauge.decision.quarantine.RunId;
import org.cranberrygauge.decision.quarantine.SuspectPlacement;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Applies the quarantine to the requests of a gateway.
 *
 * <p>Invariants: a request that lost its backend server is retried only once it is known whether the server crashed;
 * peers are notified of a crash before the request is retried. Safe for use by several threads.
 */
public final class QuarantineEnforcer {

    /** How long peers are given to report their requests on the same backend server in milliseconds. */
    private static final long PEER_REPORT_WAIT_MILLIS = 200;

    private final Vertx vertx;

    private final Quarantine quarantine;

    private final CrashDetector detector;

    private final TimeSource time;

    private final Runnable notifyPeers;

    private final String gateway;

    /** Supplies the incarnations of the reachable gateways, this one included. */
    private final Supplier<Collection<String>> gateways;

    public QuarantineEnforcer(
            Vertx vertx,
            Quarantine quarantine,
            CrashDetector detector,
            TimeSource time,
            Runnable notifyPeers,
            String gateway,
            Supplier<Collection<String>> gateways) {
        this.gateway = gateway;
        this.gateways = gateways;
        this.vertx = vertx;
        this.quarantine = quarantine;
        this.detector = detector;
        this.time = time;
        this.notifyPeers = notifyPeers;
    }

    /**
     * Returns the failure of a quarantined request, or nothing if the request is not quarantined. The caller must clear
     * its "not run" flag if the request has been sent.
     */
    Optional<RequestFailure> refusal(RequestFingerprint fingerprint) {
        QuarantineStatus status = quarantine.status(time.monotonicMillis(), fingerprint);
        if (status instanceof QuarantineStatus.Quarantined quarantined) {
            return Optional.of(RequestFailure.notRun(
                            ErrorCode.QUARANTINED,
                            "backend servers crashed while running this request; it is quarantined")
                    .withRetryAfter(quarantined.remainingMillis()));
        }
        return Optional.empty();
    }

    /**
     * Returns the rule by which a request may start on a backend server, which follows the status of the request.
     *
     * @param submittedAtMillis The monotonic time at which the request was queued in milliseconds.
     */
    Eligibility eligibility(RequestFingerprint fingerprint, long submittedAtMillis) {
        return new Eligibility() {

            @Override
            public boolean isRestricted() {
                return quarantine.status(time.monotonicMillis(), fingerprint) != QuarantineStatus.Clear.INSTANCE;
            }

            @Override
            public boolean allows(BackendServer server, int healthyServers) {
                long nowMillis = time.monotonicMillis();
                return SuspectPlacement.mayStart(nowMillis - submittedAtMillis, gateway, gateways.get(), server.name())
                        && quarantine.mayStart(nowMillis, fingerprint, server.name(), healthyServers);
            }
        };
    }

    /** Records the start of a run if the request is a suspect, and notifies the peers at once. */
    void started(RunId run, BackendServer server) {
        long nowMillis = time.monotonicMillis();
        if (quarantine.status(nowMillis, run.fingerprint()) != QuarantineStatus.Clear.INSTANCE) {
            quarantine.started(nowMillis, run, server.name());
            notifyPeers.run();
        }
    }

    /** Records the end of a run, successful or not. */
    void ended(RunId run) {
        quarantine.ended(run);
    }

    void completed(RequestFingerprint fingerprint) {
        quarantine.completed(time.monotonicMillis(), fingerprint);
    }

    /**
     * Determines whether a backend server crashed during a run, and records the crash.
     *
     * @param server The backend server to which the connection was lost.
     * @param startedAtMillis The monotonic time at which the run started in milliseconds.
     * @return Whether it crashed. If the request is now quarantined, the future completes only after peers had time to
     *     report what they had running on that server.
     */
    Future<Boolean> connectionLost(RequestFingerprint fingerprint, BackendServer server, long startedAtMillis) {
        long lostAtMillis = time.monotonicMillis();
        return detector.probe(server).compose(crashed -> {
            if (!crashed) {
                return Future.succeededFuture(false);
            }
            quarantine.crashed(lostAtMillis, fingerprint, server.name(), startedAtMillis);
            notifyPeers.run();
            return refusal(fingerprint).isPresent() ? awaitPeerReports() : Future.succeededFuture(true);
        });
    }

    private Future<Boolean> awaitPeerReports() {
        Promise<Boolean> promise = Promise.promise();
        vertx.setTimer(PEER_REPORT_WAIT_MILLIS, timer -> promise.complete(true));
        return promise.future();
    }
}
