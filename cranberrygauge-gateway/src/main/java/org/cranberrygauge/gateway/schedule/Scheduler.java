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
 * Drives the dispatcher of this gateway, which starts, refuses and preempts requests.
 *
 * <p>Invariants: a request is started or refused exactly once each time it is submitted, unless it is cancelled; the
 * dispatcher is used by one thread at a time. Safe for use by several threads without locks.
 */
public final class Scheduler implements DispatchListener {

    /** The interval at which the backend table is refreshed in milliseconds. */
    private static final long REFRESH_MILLIS = 100;

    /** The interval at which the speeds of backend servers are compared in milliseconds. */
    private static final long COMPARE_MILLIS = 500;

    private final SerialExecutor serial = new SerialExecutor();

    /** The dispatcher; used by the serial executor only. */
    private final Dispatcher dispatcher;

    private final BackendTableUpdater tableUpdater;

    private final TimeSource time;

    private final Consumer<Ejection> onEjection;

    /** The queued and preemptible calls by request identifier; used by the serial executor only. */
    private final Map<Long, PendingCall> calls = new HashMap<>();

    /** The counts of the last tick, for other threads. */
    private final AtomicReference<Counts> counts = new AtomicReference<>(new Counts(Map.of(), Map.of()));

    /** The configured classes; used by the serial executor only. */
    private List<ServiceClass> classes = List.of();

    /** The monotonic time of the last refresh; used by the serial executor only. */
    private long refreshedAtMillis = Long.MIN_VALUE / 2;

    /** The monotonic time of the last comparison; used by the serial executor only. */
    private long comparedAtMillis = Long.MIN_VALUE / 2;

    public Scheduler(
            DispatchPolicy policy,
            BackendTableUpdater tableUpdater,
            TimeSource time,
            RandomGenerator random,
            Consumer<Ejection> onEjection) {
        this.dispatcher = new Dispatcher(policy, this, random);
        this.tableUpdater = tableUpdater;
        this.time = time;
        this.onEjection = onEjection;
    }

    /** Replaces the configured classes. */
    public void configure(List<ServiceClass> replacement) {
        serial.run(() -> {
            classes = replacement;
            dispatcher.configure(replacement);
            refresh(time.monotonicMillis());
        });
    }

    /** Submits a request, either initially or again after an attempt ended. */
    public void submit(PendingCall call) {
        serial.run(() -> {
            long nowMillis = time.monotonicMillis();
            tableUpdater.applyRecorded(nowMillis, dispatcher.table());
            calls.put(call.queued().requestId(), call);
            dispatcher.submit(nowMillis, call.queued(), call.routing(), call.onPreempted() != null, call.eligibility());
        });
    }

    /** Removes a request whose caller disconnected or that failed for good. */
    public void cancel(long requestId) {
        serial.run(() -> {
            calls.remove(requestId);
            dispatcher.cancel(requestId);
        });
    }

    /** Releases the slot of an attempt that ended. */
    public void attemptEnded(long requestId, BackendServer server) {
        serial.run(() -> dispatcher.ended(time.monotonicMillis(), requestId, server.name()));
    }

    /**
     * Corrects the usage charged to a customer once a request has ended for good.
     *
     * @param request The request as it was submitted, with its estimated cost.
     * @param actualTokens The actual cost in tokens.
     */
    public void recordCost(QueuedRequest request, long actualTokens) {
        serial.run(() -> {
            calls.remove(request.requestId());
            dispatcher.finished(request.requestId(), actualTokens);
        });
    }

    /**
     * Refuses requests past their deadline, starts those for which there is capacity and preempts running ones in
     * favour of higher tiers.
     */
    public void tick() {
        serial.run(() -> {
            long nowMillis = time.monotonicMillis();
            tableUpdater.applyRecorded(nowMillis, dispatcher.table());
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

    /** Returns the number of queued requests by class, as of the last tick. */
    public Map<String, Integer> waiting() {
        return counts.get().waiting();
    }

    /** Returns the number of requests in flight from this gateway by backend server, as of the last tick. */
    public Map<String, Integer> inFlight() {
        return counts.get().inFlight();
    }

    @Override
    public void start(QueuedRequest request, BackendServer server, boolean owed) {
        PendingCall call = calls.get(request.requestId());
        if (call == null) {
            attemptEnded(request.requestId(), server);
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

    private void refresh(long nowMillis) {
        refreshedAtMillis = nowMillis;
        int waiting =
                waitingByClass().values().stream().mapToInt(Integer::intValue).sum();
        tableUpdater.refresh(nowMillis, dispatcher.table(), waiting);
    }

    private Map<String, Integer> waitingByClass() {
        Map<String, Integer> waiting = new HashMap<>();
        for (ServiceClass serviceClass : classes) {
            waiting.put(serviceClass.name(), dispatcher.waiting(serviceClass.name()));
        }
        return waiting;
    }

    /**
     * The counts of one tick.
     *
     * @param waiting The queued requests by class.
     * @param inFlight The requests in flight by backend server.
     */
    private record Counts(Map<String, Integer> waiting, Map<String, Integer> inFlight) {

        private Counts {
            waiting = Map.copyOf(waiting);
            inFlight = Map.copyOf(inFlight);
        }
    }
}
