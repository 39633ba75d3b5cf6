package org.cranberrygauge.gateway.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.dispatch.DispatchListener;
import org.cranberrygauge.decision.dispatch.DispatchPolicy;
import org.cranberrygauge.decision.dispatch.Dispatcher;
import org.cranberrygauge.decision.routing.BackendTable.Ejection;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Lets the dispatcher of this gateway start, refuse and preempt calls.
 *
 * <p>Invariants: a request is started or refused exactly once for each time it is submitted, unless it is cancelled; the
 * dispatcher is used by one thread at a time. Safe for use by several threads without locks.
 */
public final class Scheduler implements DispatchListener {

    /** The time between two looks at the blackboard in milliseconds. */
    private static final long REFRESH_MILLIS = 100;

    /** The time between two comparisons of speeds in milliseconds. */
    private static final long COMPARE_MILLIS = 500;

    /** Serialises access to the dispatcher. */
    private final SerialExecutor serial = new SerialExecutor();

    /** The dispatcher, used within the serial runner. */
    private final Dispatcher dispatcher;

    /** The backend servers as the blackboard knows them. */
    private final BackendTableUpdater board;

    /** The sources of time. */
    private final TimeSource time;

    /** Takes the backend servers that were ejected or readmitted. */
    private final Consumer<Ejection> onEjection;

    /** The waiting and running calls by identifier, used within the serial runner. */
    private final Map<Long, PendingCall> calls = new HashMap<>();

    /** What was last counted, for other threads. */
    private final AtomicReference<Counts> counts = new AtomicReference<>(new Counts(Map.of(), Map.of()));

    /** The classes, used within the serial runner. */
    private List<ServiceClass> classes = List.of();

    /** The monotonic time of the last look at the blackboard, used within the serial runner. */
    private long refreshedAtMillis = Long.MIN_VALUE / 2;

    /** The monotonic time of the last comparison of speeds, used within the serial runner. */
    private long comparedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a scheduler.
     *
     * @param policy The decisions.
     * @param board The backend servers as the blackboard knows them.
     * @param time The sources of time.
     * @param random The source of randomness.
     * @param onEjection Takes the backend servers that were ejected or readmitted.
     */
    public Scheduler(
            DispatchPolicy policy,
            BackendTableUpdater board,
            TimeSource time,
            RandomGenerator random,
            Consumer<Ejection> onEjection) {
        this.dispatcher = new Dispatcher(policy, this, random);
        this.board = board;
        this.time = time;
        this.onEjection = onEjection;
    }

    /**
     * Replaces the classes.
     *
     * @param replacement The classes.
     */
    public void configure(List<ServiceClass> replacement) {
        serial.run(() -> {
            classes = replacement;
            dispatcher.configure(replacement);
            refresh(time.monotonicMillis());
        });
    }

    /**
     * Submits a request, also again after an attempt of it ended.
     *
     * @param call The request.
     */
    public void submit(PendingCall call) {
        serial.run(() -> {
            long nowMillis = time.monotonicMillis();
            board.applyNoted(nowMillis, dispatcher.table());
            calls.put(call.queued().requestId(), call);
            dispatcher.submit(nowMillis, call.queued(), call.routing(), call.onPreempted() != null, call.eligibility());
        });
    }

    /**
     * Removes a request whose caller is gone.
     *
     * @param requestId The identifier of the request.
     */
    public void cancel(long requestId) {
        serial.run(() -> {
            calls.remove(requestId);
            dispatcher.cancel(requestId);
        });
    }

    /**
     * Notes that an attempt ended and frees its slot.
     *
     * @param requestId The identifier of the request.
     * @param server The backend server.
     */
    public void ended(long requestId, BackendServer server) {
        serial.run(() -> dispatcher.ended(time.monotonicMillis(), requestId, server.name()));
    }

    /**
     * Corrects the account of a customer by the actual cost of a request that ended for good.
     *
     * @param request The request as it was submitted.
     * @param actualTokens The actual cost in tokens.
     */
    public void account(QueuedRequest request, long actualTokens) {
        serial.run(() -> {
            calls.remove(request.requestId());
            dispatcher.finished(request.requestId(), actualTokens);
        });
    }

    /** Refuses what is past its deadline, starts what can start and preempts for what can't. */
    public void tick() {
        serial.run(() -> {
            long nowMillis = time.monotonicMillis();
            board.applyNoted(nowMillis, dispatcher.table());
            if (nowMillis - refreshedAtMillis >= REFRESH_MILLIS) {
                refresh(nowMillis);
            }
            if (nowMillis - comparedAtMillis >= COMPARE_MILLIS) {
                comparedAtMillis = nowMillis;
                dispatcher.table().compare(nowMillis).forEach(onEjection);
            }
            dispatcher.tick(nowMillis);
            counts.set(new Counts(waitingByClass(), dispatcher.table().inFlight()));
        });
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return The numbers by class, as of the last tick.
     */
    public Map<String, Integer> waiting() {
        return counts.get().waiting();
    }

    /**
     * Returns the requests in flight from this gateway.
     *
     * @return The numbers by backend server, as of the last tick.
     */
    public Map<String, Integer> inFlight() {
        return counts.get().inFlight();
    }

    @Override
    public void start(QueuedRequest request, BackendServer server, boolean owed) {
        PendingCall call = calls.get(request.requestId());
        if (call == null) {
            ended(request.requestId(), server);
            return;
        }
        if (call.onPreempted() == null) {
            calls.remove(request.requestId());
        }
        call.onStart().accept(server);
    }

    @Override
    public void refuse(Refusal refusal) {
        PendingCall call = calls.remove(refusal.requestId());
        if (call != null) {
            call.onRefused().accept(refusal);
        }
    }

    @Override
    public void preempt(long requestId) {
        PendingCall call = calls.get(requestId);
        if (call != null) {
            call.onPreempted().run();
        }
    }

    /**
     * Takes in what the blackboard says.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    private void refresh(long nowMillis) {
        refreshedAtMillis = nowMillis;
        int waiting =
                waitingByClass().values().stream().mapToInt(Integer::intValue).sum();
        board.refresh(nowMillis, dispatcher.table(), waiting);
    }

    /**
     * Counts the waiting requests.
     *
     * @return The numbers by class.
     */
    private Map<String, Integer> waitingByClass() {
        Map<String, Integer> waiting = new HashMap<>();
        for (ServiceClass serviceClass : classes) {
            waiting.put(serviceClass.name(), dispatcher.waiting(serviceClass.name()));
        }
        return waiting;
    }

    /**
     * What was counted at one time.
     *
     * @param waiting The waiting requests by class.
     * @param inFlight The requests in flight by backend server.
     */
    private record Counts(Map<String, Integer> waiting, Map<String, Integer> inFlight) {

        /** Copies the maps. */
        private Counts {
            waiting = Map.copyOf(waiting);
            inFlight = Map.copyOf(inFlight);
        }
    }
}
