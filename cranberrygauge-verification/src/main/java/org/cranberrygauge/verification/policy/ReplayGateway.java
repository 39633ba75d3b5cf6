package org.cranberrygauge.verification.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.dispatch.DispatchListener;
import org.cranberrygauge.decision.dispatch.Dispatcher;
import org.cranberrygauge.decision.dispatch.Eligibility;
import org.cranberrygauge.decision.retry.RetryBudget;
import org.cranberrygauge.decision.routing.BackendTable;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;

/**
 * A simulated gateway: the dispatcher and the retry budget of the real one, without sockets.
 *
 * <p>Not thread-safe.
 */
final class ReplayGateway implements DispatchListener {

    /** The maximum number of attempts per request, as in the gateway. */
    private static final int MAXIMUM_ATTEMPTS = 4;

    /** The retry budget as a share of successes, as in the gateway. */
    private static final double RETRY_SHARE = 0.1;

    /** The maximum number of retries that the budget accumulates, as in the gateway. */
    private static final int RETRY_BURST = 20;

    /** The output limit that callers set, in tokens. */
    private static final int OUTPUT_LIMIT = 2_048;

    /** The one-way network latency between gateway and engine. */
    private static final double ENGINE_LATENCY_MILLIS = 0.5;

    /** The one-way network latency between gateway and caller. */
    private static final double CALLER_LATENCY_MILLIS = 3;

    private final String name;

    private final ReplaySimulation replay;

    private final VirtualClock clock;

    private final Dispatcher dispatcher;

    private final RetryBudget retries = new RetryBudget.Share(RETRY_SHARE, RETRY_BURST);

    private final Map<String, Customer> customers = new HashMap<>();

    private final Configuration configuration;

    /** The waiting and running requests by request number. */
    private final Map<Long, ReplayedRequest> requests = new HashMap<>();

    /** The running attempts by request number. */
    private final Map<Long, EngineAttempt> attempts = new HashMap<>();

    private boolean alive = true;

    private long successes;

    private long retried;

    ReplayGateway(
            String name,
            ReplaySimulation replay,
            VirtualClock clock,
            PolicyVariant variant,
            Configuration configuration,
            Random random) {
        this.name = name;
        this.replay = replay;
        this.clock = clock;
        this.configuration = configuration;
        dispatcher = new Dispatcher(variant.decisions().get(), this, random);
        configuration.customers().forEach(customer -> customers.put(customer.name(), customer));
        dispatcher.table().configure(configuration.backendServers());
        dispatcher.configure(configuration.classes());
    }

    String name() {
        return name;
    }

    BackendTable table() {
        return dispatcher.table();
    }

    Iterable<EngineAttempt> attempts() {
        return attempts.values();
    }

    /** Returns the number of requests in flight and waiting. */
    double demand() {
        return requests.size();
    }

    int waiting(String className) {
        return dispatcher.waiting(className);
    }

    long successes() {
        return successes;
    }

    long retried() {
        return retried;
    }

    boolean isAlive() {
        return alive;
    }

    /** Returns the present time including fractions of a millisecond. */
    double exactMillis() {
        return clock.exactMillis();
    }

    void accept(long requestId, ReplayedRequest request) {
        requests.put(requestId, request);
        submit(requestId, request);
    }

    /** Refuses expired requests, starts those that have a slot and preempts lower tiers. */
    void tick() {
        if (alive) {
            dispatcher.tick(clock.nowMillis());
        }
    }

    /** Kills the gateway; all its requests fail. */
    void kill() {
        alive = false;
        List.copyOf(attempts.values()).forEach(attempt -> attempt.engine().cancel(attempt));
        requests.values().forEach(request -> replay.end(request, ReplayedRequest.End.FAILED));
        attempts.clear();
        requests.clear();
    }

    /** Ends the requests of a customer whose key was withdrawn. */
    void onKeyWithdrawn(String customer) {
        for (Map.Entry<Long, ReplayedRequest> entry : List.copyOf(requests.entrySet())) {
            if (!entry.getValue().trace.customer().equals(customer)) {
                continue;
            }
            long requestId = entry.getKey();
            dispatcher.cancel(requestId);
            EngineAttempt attempt = attempts.remove(requestId);
            if (attempt != null) {
                attempt.engine().cancel(attempt);
                dispatcher.ended(
                        clock.nowMillis(), requestId, attempt.engine().server().name());
            }
            complete(requestId, entry.getValue(), ReplayedRequest.End.KEY_WITHDRAWN);
        }
    }

    @Override
    public void start(QueuedRequest queued, BackendServer server, boolean guaranteed) {
        ReplayedRequest request = requests.get(queued.requestId());
        request.attempts++;
        EngineAttempt attempt = replay.attempt(this, server, request, queued.requestId());
        attempt.markStarted(clock.nowMillis(), guaranteed);
        attempts.put(queued.requestId(), attempt);
        replay.started(this, request);
        clock.after(ENGINE_LATENCY_MILLIS, () -> {
            if (!attempt.isClosed()) {
                attempt.engine().submit(attempt);
            }
        });
    }

    @Override
    public void refuse(Refusal refusal) {
        ReplayedRequest request = requests.get(refusal.requestId());
        replay.refused(this, request);
        complete(refusal.requestId(), request, ReplayedRequest.End.REFUSED);
    }

    @Override
    public void preempt(long requestId) {
        clock.after(0, () -> {
            EngineAttempt attempt = attempts.remove(requestId);
            if (attempt == null || !alive) {
                return;
            }
            replay.preempted(this, attempt);
            attempt.engine().cancel(attempt);
            attempt.request().preemptions++;
            release(attempt);
            submit(requestId, attempt.request());
        });
    }

    /** Records tokens that are on their way to the caller. */
    void recordDelivery(ReplayedRequest request, int tokens) {
        double atMillis = clock.exactMillis() + ENGINE_LATENCY_MILLIS + CALLER_LATENCY_MILLIS;
        if (request.firstTokenAtMillis < 0) {
            request.firstTokenAtMillis = atMillis;
        }
        request.lastTokenAtMillis = atMillis;
        request.delivered += tokens;
    }

    /** Handles the end of an attempt that delivered the complete answer. */
    void finished(EngineAttempt attempt) {
        attempts.remove(attempt.requestId());
        retries.succeeded();
        successes++;
        release(attempt);
        complete(attempt.requestId(), attempt.request(), ReplayedRequest.End.ANSWERED);
    }

    /** Handles a failed attempt: retries it if the request is safe to repeat and the retry budget allows it. */
    void failed(EngineAttempt attempt) {
        ReplayedRequest request = attempt.request();
        attempts.remove(attempt.requestId());
        table().failed(clock.nowMillis(), attempt.engine().server().name());
        release(attempt);
        boolean retry = !request.trace.mutates()
                && request.attempts - request.preemptions < MAXIMUM_ATTEMPTS
                && retries.tryRetry();
        if (retry) {
            retried++;
            submit(attempt.requestId(), request);
        } else {
            complete(attempt.requestId(), request, ReplayedRequest.End.FAILED);
        }
    }

    /** Releases the slot of an attempt and reports its measured speed. */
    private void release(EngineAttempt attempt) {
        String server = attempt.engine().server().name();
        double interval = attempt.intervalMillis();
        if (interval > 0) {
            table().measured(clock.nowMillis(), server, interval);
        }
        dispatcher.ended(clock.nowMillis(), attempt.requestId(), server);
    }

    private void complete(long requestId, ReplayedRequest request, ReplayedRequest.End end) {
        requests.remove(requestId);
        if (request.isChat() && request.attempts > 0) {
            dispatcher.finished(requestId, request.trace.promptTokens() + (long) request.delivered);
        }
        replay.end(request, end);
    }

    private void submit(long requestId, ReplayedRequest request) {
        long nowMillis = clock.nowMillis();
        String target = request.isChat() ? request.trace.model() : service(request);
        int prompt = request.isChat() ? request.trace.promptTokens() : 0;
        long cost = request.isChat() ? prompt + (long) OUTPUT_LIMIT : 1;
        QueuedRequest queued = new QueuedRequest(
                requestId,
                request.trace.customer(),
                customers.get(request.trace.customer()).weight(),
                request.serviceClass.name(),
                target,
                cost,
                nowMillis,
                nowMillis + request.serviceClass.longestWaitMillis());
        RoutingRequest routing = new RoutingRequest(target, request.trace.prefixGroup(), prompt);
        dispatcher.submit(nowMillis, queued, routing, request.isChat(), Eligibility.Any.INSTANCE);
    }

    /** Finds the service that a call is routed to by its path. */
    private String service(ReplayedRequest request) {
        return configuration.routes().stream()
                .filter(route -> request.trace.path().startsWith("/services" + route.pathPrefix()))
                .findFirst()
                .orElseThrow()
                .service();
    }
}
