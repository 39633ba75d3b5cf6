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
 * A gateway of the replay: the dispatcher and the retry budget of the real one, without sockets.
 *
 * <p>Used by one thread.
 */
final class ReplayGateway implements DispatchListener {

    /** The number of attempts after which a request is given up, as in the gateway. */
    private static final int ATTEMPTS = 4;

    /** The share of successes that may be retried, as in the gateway. */
    private static final double RETRY_SHARE = 0.1;

    /** The number of retries that can be saved, as in the gateway. */
    private static final int RETRY_BURST = 20;

    /** The output limit that callers set in tokens. */
    private static final int OUTPUT_LIMIT = 2_048;

    /** The time from gateway to engine in milliseconds. */
    private static final double ENGINE_MILLIS = 0.5;

    /** The time from gateway to caller in milliseconds. */
    private static final double CALLER_MILLIS = 3;

    /** The name. */
    private final String name;

    /** The replay. */
    private final ReplaySimulation replay;

    /** The clock. */
    private final VirtualClock clock;

    /** The dispatcher. */
    private final Dispatcher dispatcher;

    /** The retry budget. */
    private final RetryBudget retries = new RetryBudget.Share(RETRY_SHARE, RETRY_BURST);

    /** The customers by name. */
    private final Map<String, Customer> customers = new HashMap<>();

    /** The services by path prefix. */
    private final Configuration configuration;

    /** The waiting and running requests by number. */
    private final Map<Long, ReplayedRequest> requests = new HashMap<>();

    /** The running attempts by number of the request. */
    private final Map<Long, EngineAttempt> attempts = new HashMap<>();

    /** Whether it is there. */
    private boolean alive = true;

    /** The successes. */
    private long successes;

    /** The retries. */
    private long retried;

    /**
     * Creates a gateway.
     *
     * @param name The name.
     * @param replay The replay.
     * @param clock The clock.
     * @param variant The decisions.
     * @param configuration The configuration.
     * @param random The source of randomness.
     */
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

    /**
     * Returns the name.
     *
     * @return The name.
     */
    String name() {
        return name;
    }

    /**
     * Returns the table.
     *
     * @return The table.
     */
    BackendTable table() {
        return dispatcher.table();
    }

    /**
     * Returns the running attempts.
     *
     * @return The attempts.
     */
    Iterable<EngineAttempt> attempts() {
        return attempts.values();
    }

    /**
     * Returns the work in flight and waiting.
     *
     * @return The number of requests.
     */
    double demand() {
        return requests.size();
    }

    /**
     * Returns the waiting requests of a class.
     *
     * @param className The name of the class.
     * @return The number.
     */
    int waiting(String className) {
        return dispatcher.waiting(className);
    }

    /**
     * Returns the successes.
     *
     * @return The number.
     */
    long successes() {
        return successes;
    }

    /**
     * Returns the retries.
     *
     * @return The number.
     */
    long retried() {
        return retried;
    }

    /**
     * Tells whether it is there.
     *
     * @return Whether it is.
     */
    boolean isAlive() {
        return alive;
    }

    /**
     * Returns the present time with fractions.
     *
     * @return The time in milliseconds.
     */
    double exactMillis() {
        return clock.exactMillis();
    }

    /**
     * Takes a request.
     *
     * @param requestId The number of the request.
     * @param request The request.
     */
    void take(long requestId, ReplayedRequest request) {
        requests.put(requestId, request);
        submit(requestId, request);
    }

    /** Refuses what is late, starts what can start and preempts. */
    void tick() {
        if (alive) {
            dispatcher.tick(clock.nowMillis());
        }
    }

    /** Is killed with all that waits and runs. */
    void kill() {
        alive = false;
        List.copyOf(attempts.values()).forEach(attempt -> attempt.engine().cancel(attempt));
        requests.values().forEach(request -> replay.end(request, ReplayedRequest.End.FAILED));
        attempts.clear();
        requests.clear();
    }

    /**
     * Ends the requests of a customer whose key was withdrawn.
     *
     * @param customer The name of the customer.
     */
    void withdraw(String customer) {
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
            over(requestId, entry.getValue(), ReplayedRequest.End.KEY_WITHDRAWN);
        }
    }

    @Override
    public void start(QueuedRequest queued, BackendServer server, boolean owed) {
        ReplayedRequest request = requests.get(queued.requestId());
        request.attempts++;
        EngineAttempt attempt = replay.attempt(this, server, request, queued.requestId());
        attempt.startedAt(clock.nowMillis(), owed);
        attempts.put(queued.requestId(), attempt);
        replay.started(this, request);
        clock.after(ENGINE_MILLIS, () -> {
            if (!attempt.isClosed()) {
                attempt.engine().submit(attempt);
            }
        });
    }

    @Override
    public void refuse(Refusal refusal) {
        ReplayedRequest request = requests.get(refusal.requestId());
        replay.refused(this, request);
        over(refusal.requestId(), request, ReplayedRequest.End.REFUSED);
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
            released(attempt);
            submit(requestId, attempt.request());
        });
    }

    /**
     * Takes tokens on their way to the caller.
     *
     * @param request The request.
     * @param tokens The number of tokens.
     */
    void delivered(ReplayedRequest request, int tokens) {
        double atMillis = clock.exactMillis() + ENGINE_MILLIS + CALLER_MILLIS;
        if (request.firstTokenAtMillis < 0) {
            request.firstTokenAtMillis = atMillis;
        }
        request.lastTokenAtMillis = atMillis;
        request.delivered += tokens;
    }

    /**
     * Takes the whole end of an attempt.
     *
     * @param attempt The attempt.
     */
    void finished(EngineAttempt attempt) {
        attempts.remove(attempt.requestId());
        retries.succeeded();
        successes++;
        released(attempt);
        over(attempt.requestId(), attempt.request(), ReplayedRequest.End.ANSWERED);
    }

    /**
     * Takes the failure of an attempt.
     *
     * @param attempt The attempt.
     */
    void failed(EngineAttempt attempt) {
        ReplayedRequest request = attempt.request();
        attempts.remove(attempt.requestId());
        table().failed(clock.nowMillis(), attempt.engine().server().name());
        released(attempt);
        boolean again =
                !request.trace.mutates() && request.attempts - request.preemptions < ATTEMPTS && retries.tryRetry();
        if (again) {
            retried++;
            submit(attempt.requestId(), request);
        } else {
            over(attempt.requestId(), request, ReplayedRequest.End.FAILED);
        }
    }

    /**
     * Frees the slot of an attempt.
     *
     * @param attempt The attempt.
     */
    private void released(EngineAttempt attempt) {
        String server = attempt.engine().server().name();
        double interval = attempt.intervalMillis();
        if (interval > 0) {
            table().measured(clock.nowMillis(), server, interval);
        }
        dispatcher.ended(clock.nowMillis(), attempt.requestId(), server);
    }

    /**
     * Ends a request.
     *
     * @param requestId The number of the request.
     * @param request The request.
     * @param end The end.
     */
    private void over(long requestId, ReplayedRequest request, ReplayedRequest.End end) {
        requests.remove(requestId);
        if (request.isChat() && request.attempts > 0) {
            dispatcher.finished(requestId, request.trace.promptTokens() + (long) request.delivered);
        }
        replay.end(request, end);
    }

    /**
     * Submits a request to the dispatcher.
     *
     * @param requestId The number of the request.
     * @param request The request.
     */
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

    /**
     * Finds the service of a call.
     *
     * @param request The request.
     * @return The name of the service.
     */
    private String service(ReplayedRequest request) {
        return configuration.routes().stream()
                .filter(route -> request.trace.path().startsWith("/services" + route.pathPrefix()))
                .findFirst()
                .orElseThrow()
                .service();
    }
}
