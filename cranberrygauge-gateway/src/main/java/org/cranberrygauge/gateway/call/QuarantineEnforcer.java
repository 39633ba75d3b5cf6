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
 * <p>Invariants: a request whose backend server was lost is tried again only after it is known whether the server
 * crashed; peers are told of a crash before the request is tried again. Safe for use by several threads.
 */
public final class QuarantineEnforcer {

    /** The time in which peers tell of their requests on the same backend server in milliseconds. */
    private static final long SETTLE_MILLIS = 200;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The quarantine. */
    private final Quarantine quarantine;

    /** Tells crashes from broken connections. */
    private final CrashDetector detector;

    /** The sources of time. */
    private final TimeSource time;

    /** Tells the peers at once. */
    private final Runnable tellPeers;

    /** The incarnation of this gateway. */
    private final String gateway;

    /** Gives the incarnations of the gateways that are in touch. */
    private final Supplier<Collection<String>> gateways;

    /**
     * Creates a guard.
     *
     * @param vertx The Vert.x instance.
     * @param quarantine The quarantine.
     * @param detector Tells crashes from broken connections.
     * @param time The sources of time.
     * @param tellPeers Tells the peers at once.
     * @param gateway The incarnation of this gateway.
     * @param gateways Gives the incarnations of the gateways that are in touch, this one included.
     */
    public QuarantineEnforcer(
            Vertx vertx,
            Quarantine quarantine,
            CrashDetector detector,
            TimeSource time,
            Runnable tellPeers,
            String gateway,
            Supplier<Collection<String>> gateways) {
        this.gateway = gateway;
        this.gateways = gateways;
        this.vertx = vertx;
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
        QuarantineStatus standing = quarantine.standing(time.monotonicMillis(), fingerprint);
        if (standing instanceof QuarantineStatus.Quarantined held) {
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
     * @param submittedAtMillis The monotonic time since which the request has waited in milliseconds.
     * @return The eligibility, which follows the standing of the request.
     */
    Eligibility eligibility(RequestFingerprint fingerprint, long submittedAtMillis) {
        return new Eligibility() {

            @Override
            public boolean isRestricted() {
                return quarantine.standing(time.monotonicMillis(), fingerprint) != QuarantineStatus.Clear.INSTANCE;
            }

            @Override
            public boolean allows(BackendServer server, int healthyServers) {
                long nowMillis = time.monotonicMillis();
                return SuspectPlacement.mayStart(nowMillis - submittedAtMillis, gateway, gateways.get(), server.name())
                        && quarantine.mayStart(nowMillis, fingerprint, server.name(), healthyServers);
            }
        };
    }

    /**
     * Notes that a run started, and tells the peers at once if it is that of a suspect.
     *
     * @param run The run.
     * @param server The backend server.
     */
    void started(RunId run, BackendServer server) {
        long nowMillis = time.monotonicMillis();
        if (quarantine.standing(nowMillis, run.fingerprint()) != QuarantineStatus.Clear.INSTANCE) {
            quarantine.started(nowMillis, run, server.name());
            tellPeers.run();
        }
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
     * @return Whether it crashed, once it is also known what peers had running there if the request is to be held.
     */
    Future<Boolean> lost(RequestFingerprint fingerprint, BackendServer server, long startedAtMillis) {
        long lostAtMillis = time.monotonicMillis();
        return detector.judge(server).compose(crashed -> {
            if (!crashed) {
                return Future.succeededFuture(false);
            }
            quarantine.crashed(lostAtMillis, fingerprint, server.name(), startedAtMillis);
            tellPeers.run();
            return refusal(fingerprint).isPresent() ? settled() : Future.succeededFuture(true);
        });
    }

    /**
     * Waits until peers had the time to tell.
     *
     * @return Completes then.
     */
    private Future<Boolean> settled() {
        Promise<Boolean> promise = Promise.promise();
        vertx.setTimer(SETTLE_MILLIS, timer -> promise.complete(true));
        return promise.future();
    }
}
