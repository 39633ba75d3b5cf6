package org.cranberrygauge.gateway.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cranberrygauge.decision.admission.AdmissionQueue;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.routing.BackendView;
import org.cranberrygauge.decision.routing.RoutingPolicy;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Starts waiting requests on backend servers as the admission queue and the routing policy decide.
 *
 * <p>Invariants: a request is started or refused exactly once for each time it is submitted, unless it is cancelled; the
 * queue is used by one thread at a time. Safe for use by several threads without locks.
 */
public final class Scheduler {

    /** Serialises access to the queue. */
    private final SerialRunner serial = new SerialRunner();

    /** The admission queue. */
    private final AdmissionQueue queue;

    /** The routing policy. */
    private final RoutingPolicy routing;

    /** The backend servers. */
    private final BackendBoard board;

    /** The sources of time. */
    private final TimeSource time;

    /** The source of randomness, used within the serial runner. */
    private final RandomGenerator random;

    /** The waiting calls by identifier, used within the serial runner. */
    private final Map<Long, PendingCall> waiting = new HashMap<>();

    /**
     * Creates a scheduler.
     *
     * @param queue The admission queue.
     * @param routing The routing policy.
     * @param board The backend servers.
     * @param time The sources of time.
     * @param random The source of randomness.
     */
    public Scheduler(
            AdmissionQueue queue, RoutingPolicy routing, BackendBoard board, TimeSource time, RandomGenerator random) {
        this.queue = queue;
        this.routing = routing;
        this.board = board;
        this.time = time;
        this.random = random;
    }

    /**
     * Replaces the classes.
     *
     * @param classes The classes.
     */
    public void configure(List<ServiceClass> classes) {
        serial.run(() -> queue.configure(classes));
    }

    /**
     * Submits a request.
     *
     * @param call The request.
     */
    public void submit(PendingCall call) {
        serial.run(() -> {
            waiting.put(call.queued().requestId(), call);
            refuse(queue.offer(time.monotonicMillis(), call.queued()));
            startReady();
        });
    }

    /**
     * Removes a request whose caller is gone.
     *
     * @param requestId The identifier of the request.
     */
    public void cancel(long requestId) {
        serial.run(() -> {
            waiting.remove(requestId);
            queue.remove(requestId);
        });
    }

    /**
     * Notes that an attempt ended and frees its slot.
     *
     * @param server The backend server.
     */
    public void ended(BackendServer server) {
        board.ended(server);
        serial.run(this::startReady);
    }

    /**
     * Corrects the account of a customer by the actual cost of a finished request.
     *
     * @param request The request as it was queued.
     * @param actualTokens The actual cost in tokens.
     */
    public void account(QueuedRequest request, long actualTokens) {
        serial.run(() -> queue.finished(request, actualTokens));
    }

    /** Refuses what is past its deadline and starts what can start. */
    public void tick() {
        serial.run(() -> {
            refuse(queue.expire(time.monotonicMillis()));
            startReady();
        });
    }

    /**
     * Counts the waiting requests of classes.
     *
     * @param classes The classes.
     * @return The numbers by class, as of the last change.
     */
    public Map<String, Integer> waiting(List<ServiceClass> classes) {
        Map<String, Integer> counts = new HashMap<>();
        serial.run(() ->
                classes.forEach(serviceClass -> counts.put(serviceClass.name(), queue.waiting(serviceClass.name()))));
        return Map.copyOf(counts);
    }

    /** Starts requests while one can start. */
    private void startReady() {
        long nowMillis = time.monotonicMillis();
        Set<String> full = new HashSet<>();
        Optional<QueuedRequest> next = queue.next(nowMillis, request -> canStart(nowMillis, request, full));
        while (next.isPresent()) {
            start(nowMillis, next.get());
            next = queue.next(nowMillis, request -> canStart(nowMillis, request, full));
        }
    }

    /**
     * Tells whether a request could start now.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request.
     * @param full Takes the targets without a free slot.
     * @return Whether a slot is free.
     */
    private boolean canStart(long nowMillis, QueuedRequest request, Set<String> full) {
        if (full.contains(request.target())) {
            return false;
        }
        List<BackendView> free = board.candidates(nowMillis, request.target());
        if (free.isEmpty()) {
            full.add(request.target());
            return false;
        }
        PendingCall call = waiting.get(request.requestId());
        return call == null || free.stream().anyMatch(view -> call.mayStartOn().test(view.server()));
    }

    /**
     * Starts a request.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request.
     */
    private void start(long nowMillis, QueuedRequest request) {
        PendingCall call = waiting.remove(request.requestId());
        if (call == null) {
            return;
        }
        List<BackendView> candidates = board.candidates(nowMillis, request.target()).stream()
                .filter(view -> call.mayStartOn().test(view.server()))
                .toList();
        BackendServer server = routing.choose(nowMillis, call.routing(), candidates, random)
                .map(BackendView::server)
                .orElse(candidates.get(0).server());
        board.started(server);
        call.onStart().accept(server);
    }

    /**
     * Hands out refusals.
     *
     * @param refusals The refusals.
     */
    private void refuse(List<Refusal> refusals) {
        for (Refusal refusal : refusals) {
            PendingCall call = waiting.remove(refusal.requestId());
            if (call != null) {
                call.onRefused().accept(refusal);
            }
        }
    }
}
