package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.exchange.BackendAttempt.BufferedResponse;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.routing.BackendLoad;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;

/**
 * What one attempt shows of its backend server: the load that it causes there, the server's speed and failures, and whether
 * the request crashes it. Not thread-safe.
 */
final class AttemptRecord {

    private final ExchangeContext context;

    private final Pool pool;

    private final Backend backend;

    private final CrashEvidence evidence;

    /** The load that the attempt causes. */
    private final Placement placement;

    private final SpeedObservation observation;

    /** Whether events have arrived; an attempt that only confirms the end of a stream shows no speed. */
    private boolean hasEvents;

    /** Places the load of an attempt that starts now. */
    AttemptRecord(
            ExchangeContext context,
            ProxyRequest request,
            Pool pool,
            Backend backend,
            CrashEvidence evidence,
            long nowMillis) {
        this.context = context;
        this.pool = pool;
        this.backend = backend;
        this.evidence = evidence;
        this.placement = load().place(
                        request.callerHeaders().prompt(),
                        context.blackboard().peers().at(backend.incarnation()));
        this.observation = new SpeedObservation(context, pool, backend, placement, nowMillis);
        evidence.recordAttempt();
    }

    /** Returns the time since the attempt started in milliseconds. */
    long elapsedMillis(long nowMillis) {
        return observation.elapsedMillis(nowMillis);
    }

    /** Records that events of a stream have arrived. */
    void recordEvents(long nowMillis) {
        hasEvents = true;
        context.reachability().recordHeard(nowMillis);
        evidence.recordEvents(nowMillis);
        observation.recordEvents(nowMillis);
    }

    /** Records that the prompt has been processed. Idempotent. */
    void recordPrefilled() {
        placement.started();
    }

    /** Records the first event of a response. */
    void recordFirstEvent(long nowMillis) {
        context.profiles().recordFirstEvent(pool.name(), placement, elapsedMillis(nowMillis));
    }

    /** Records that the stream is paused for a slow caller. */
    void recordPause() {
        observation.recordPause();
    }

    /**
     * Records the end of a stream, and ends the load of the attempt.
     *
     * @param framed Whether more than the end of the connection shows that the stream is complete.
     */
    void recordStreamEnd(long nowMillis, boolean framed) {
        evidence.recordResponse(nowMillis, backend, framed);
        load().recordSuccess();
        observation.recordStreamEnd(nowMillis);
        if (hasEvents) {
            context.profiles().recordEnd(pool.name(), placement, elapsedMillis(nowMillis));
        }
        placement.end();
    }

    /** Records a complete response that is no server error. */
    void recordResponse(long nowMillis, BufferedResponse buffered) {
        load().recordSuccess();
        observation.recordResponse(nowMillis, buffered);
        evidence.recordResponse(nowMillis, backend, buffered.framed());
    }

    /** Records that the attempt has failed, and ends its load. */
    void recordFailure(long nowMillis, AttemptOutcome outcome) {
        placement.end();
        observation.recordFailure(nowMillis, outcome);
        load().recordFailure(nowMillis, outcome != AttemptOutcome.NOT_CONNECTED);
        if (outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.STREAM_BROKEN) {
            evidence.recordBroken(nowMillis, backend);
        }
    }

    /** Ends the load of the attempt. Idempotent. */
    void end() {
        placement.end();
    }

    private BackendLoad load() {
        return context.load(pool, backend);
    }
}
