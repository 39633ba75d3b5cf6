package org.cranberrygauge.decision.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.cranberrygauge.decision.admission.AdmissionQueue.QueueStart;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.preemption.PreemptionPolicy.RunningRequest;
import org.cranberrygauge.decision.routing.BackendTable;
import org.cranberrygauge.decision.routing.BackendView;
import org.cranberrygauge.decision.routing.Candidates;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Starts, refuses and preempts the requests of one gateway.
 *
 * <p>Invariants: a request is started or refused exactly once for each time it is submitted, unless it is cancelled; none
 * is refused by a forecast while a lower tier runs that can give way; a request that started because its class was owed a start is never preempted; no more requests are preempted for a target
 * than higher-tier requests wait for it. Used by one thread at a time.
 */
public final class Dispatcher {

    /** The most preempted requests of a target whose slot is not free yet. */
    private static final int STOPPING_LIMIT = 4;

    /** The number of prompt tokens that are read in the time of one output token of a loaded engine. */
    private static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 64;

    /** The decisions. */
    private final DispatchPolicy policy;

    /** Carries out what is decided. */
    private final DispatchListener listener;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** The classes by name. */
    private final Map<String, ServiceClass> classes = new HashMap<>();

    /** The waiting and running requests by identifier. */
    private final Map<Long, Submission> submissions = new HashMap<>();

    /** The running requests that can be preempted, by target. */
    private final Map<String, Map<Long, RunningRequest>> running = new HashMap<>();

    /** The preempted requests whose slot is not free yet, by target. */
    private final Map<String, Set<Long>> stopping = new HashMap<>();

    /** The targets that requests waited for lately. */
    private final Set<String> targets = new TreeSet<>();

    /**
     * Creates a dispatcher.
     *
     * @param policy The decisions.
     * @param listener Carries out what is decided.
     * @param random The source of randomness.
     */
    public Dispatcher(DispatchPolicy policy, DispatchListener listener, RandomGenerator random) {
        this.policy = policy;
        this.listener = listener;
        this.random = random;
    }

    /**
     * Returns the backend servers.
     *
     * @return The table.
     */
    public BackendTable table() {
        return policy.table();
    }

    /**
     * Replaces the classes.
     *
     * @param replacement The classes.
     */
    public void configure(List<ServiceClass> replacement) {
        classes.clear();
        replacement.forEach(serviceClass -> classes.put(serviceClass.name(), serviceClass));
        policy.queue().configure(replacement);
    }

    /**
     * Submits a request, also again after an attempt of it ended.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request; its cost is that of the prompt and the longest answer.
     * @param routing What routing needs to know.
     * @param resumable Whether it can be stopped and go on elsewhere.
     * @param eligibility Tells on which backend servers it may start.
     */
    public void submit(
            long nowMillis, QueuedRequest request, RoutingRequest routing, boolean resumable, Eligibility eligibility) {
        Submission before = submissions.get(request.requestId());
        long cost = work(routing.promptTokens(), output(request, routing));
        QueuedRequest queued = before == null ? request.withEstimatedTokens(cost) : request.again(nowMillis, cost);
        int preemptions = before == null ? 0 : before.preemptions();
        boolean ran = before != null && before.ran();
        submissions.put(request.requestId(), new Submission(queued, routing, resumable, preemptions, ran, eligibility));
        targets.add(request.target());
        List<Refusal> refusals =
                ran ? policy.queue().resume(nowMillis, queued) : policy.queue().offer(nowMillis, queued);
        boolean refused = refusals.stream().anyMatch(refusal -> refusal.requestId() == request.requestId());
        if (refused && !ran && lowerTierRuns(queued)) {
            refusals = policy.queue().resume(nowMillis, queued);
        }
        refuse(refusals);
        startReady(nowMillis);
    }

    /**
     * Removes a request whose caller is gone.
     *
     * @param requestId The identifier of the request.
     */
    public void cancel(long requestId) {
        policy.queue().remove(requestId);
        forgetUnlessRan(requestId);
    }

    /**
     * Notes that an attempt ended and frees its slot.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param requestId The identifier of the request.
     * @param server The name of the backend server.
     */
    public void ended(long nowMillis, long requestId, String server) {
        running.values().forEach(requests -> requests.remove(requestId));
        stopping.values().forEach(requests -> requests.remove(requestId));
        Submission submission = submissions.get(requestId);
        if (submission != null && !submission.resumable()) {
            submissions.remove(requestId);
        }
        policy.table().ended(server);
        startReady(nowMillis);
    }

    /**
     * Notes that a request ended for good, and corrects the account of its customer.
     *
     * @param requestId The identifier of the request.
     * @param actualTokens The actual cost in tokens, prompt and output.
     */
    public void finished(long requestId, long actualTokens) {
        Submission submission = submissions.remove(requestId);
        if (submission == null) {
            return;
        }
        QueuedRequest request = submission.request();
        int promptTokens = submission.routing().promptTokens();
        policy.queue().finished(request, work(promptTokens, Math.max(0, actualTokens - promptTokens)));
        if (promptTokens > 0 && actualTokens > promptTokens) {
            policy.estimate().observe(request.customer(), request.className(), (int) (actualTokens - promptTokens));
        }
    }

    /**
     * Refuses what is past its deadline, starts what can start and preempts for what can't.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public void tick(long nowMillis) {
        policy.table().refresh(nowMillis);
        refuse(policy.queue().expire(nowMillis));
        startReady(nowMillis);
        for (String target : targets) {
            preempt(nowMillis, target);
        }
    }

    /**
     * Returns the number of waiting requests of a class.
     *
     * @param className The name of the class.
     * @return The number.
     */
    public int waiting(String className) {
        return policy.queue().waiting(className);
    }

    /**
     * Returns the work of a request, by which customers share and queues drain.
     *
     * @param promptTokens The prompt in tokens.
     * @param outputTokens The output in tokens.
     * @return The work in output tokens.
     */
    private static long work(int promptTokens, long outputTokens) {
        return outputTokens + promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    }

    /**
     * Tells whether a request of a lower tier runs that can still give way to a request.
     *
     * @param request The request.
     * @return Whether one does.
     */
    private boolean lowerTierRuns(QueuedRequest request) {
        ServiceClass serviceClass = classes.get(request.className());
        if (serviceClass == null) {
            return false;
        }
        return running.getOrDefault(request.target(), Map.of()).values().stream()
                .anyMatch(other -> policy.preemption().mayGiveWay(serviceClass.tier(), other));
    }

    /**
     * Estimates the output of a request.
     *
     * @param request The request.
     * @param routing What routing knows of it.
     * @return The output in tokens.
     */
    private long output(QueuedRequest request, RoutingRequest routing) {
        int limit = (int) Math.max(1, request.estimatedTokens() - routing.promptTokens());
        if (routing.promptTokens() == 0) {
            return limit;
        }
        return policy.estimate().remainingTokens(request.customer(), request.className(), 0, limit);
    }

    /**
     * Starts requests while one can start.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    private void startReady(long nowMillis) {
        if (!anyFree()) {
            return;
        }
        Set<String> full = new HashSet<>();
        Optional<QueueStart> next = policy.queue().next(nowMillis, request -> canStart(request, full));
        while (next.isPresent()) {
            start(nowMillis, next.get());
            if (!anyFree()) {
                return;
            }
            next = policy.queue().next(nowMillis, request -> canStart(request, full));
        }
    }

    /**
     * Tells whether any target has a free slot, before the queue is searched.
     *
     * @return Whether one has.
     */
    private boolean anyFree() {
        for (String target : targets) {
            if (policy.table().candidates(target).size() > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Tells whether a request could start now.
     *
     * @param request The request.
     * @param full Takes the targets without a free slot.
     * @return Whether a slot is free.
     */
    private boolean canStart(QueuedRequest request, Set<String> full) {
        if (full.contains(request.target())) {
            return false;
        }
        Candidates candidates = policy.table().candidates(request.target());
        if (candidates.size() == 0) {
            full.add(request.target());
            return false;
        }
        Submission submission = submissions.get(request.requestId());
        return !submission.eligibility().isRestricted()
                || eligible(submission, candidates).isPresent();
    }

    /**
     * Starts a request.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param next The request.
     */
    private void start(long nowMillis, QueueStart next) {
        QueuedRequest request = next.request();
        Submission submission = submissions.get(request.requestId());
        Candidates candidates = policy.table().candidates(request.target());
        Optional<BackendView> choice = choose(nowMillis, submission, candidates);
        if (choice.isEmpty()) {
            refuse(policy.queue().resume(nowMillis, request));
            return;
        }
        BackendView chosen = choice.get();
        policy.table().started(chosen.server().name());
        submissions.put(request.requestId(), submission.started());
        ServiceClass serviceClass = classes.get(request.className());
        if (submission.resumable() && !next.owed() && serviceClass != null) {
            RunningRequest runs =
                    new RunningRequest(request.requestId(), serviceClass.tier(), nowMillis, submission.preemptions());
            running.computeIfAbsent(request.target(), name -> new LinkedHashMap<>())
                    .put(request.requestId(), runs);
        }
        listener.start(request, chosen.server(), next.owed());
    }

    /**
     * Chooses the backend server of a request.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param submission The request.
     * @param candidates The backend servers with a free slot.
     * @return The choice, or nothing if a restriction changed since the request was taken from the queue.
     */
    private Optional<BackendView> choose(long nowMillis, Submission submission, Candidates candidates) {
        if (submission.eligibility().isRestricted()) {
            return eligible(submission, candidates);
        }
        return policy.routing()
                .choose(nowMillis, submission.routing(), candidates, random)
                .or(() -> Optional.of(candidates.get(0)));
    }

    /**
     * Finds the least loaded backend server that a restricted request may start on.
     *
     * @param submission The request.
     * @param candidates The backend servers with a free slot.
     * @return The backend server, or nothing.
     */
    private static Optional<BackendView> eligible(Submission submission, Candidates candidates) {
        int healthy = candidates.healthy();
        return IntStream.range(0, candidates.size())
                .mapToObj(candidates::get)
                .filter(view -> submission.eligibility().allows(view.server(), healthy))
                .min(Comparator.comparingInt(BackendView::inFlight));
    }

    /**
     * Preempts lower-tier requests while a higher-tier one waits too long, unless it waits for a restriction to end.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param target The model or service.
     */
    private void preempt(long nowMillis, String target) {
        QueuedRequest first = policy.queue().first(target);
        ServiceClass waitingClass = first == null ? null : classes.get(first.className());
        Map<Long, RunningRequest> requests = running.getOrDefault(target, Map.of());
        if (waitingClass == null || requests.isEmpty()) {
            return;
        }
        if (submissions.get(first.requestId()).eligibility().isRestricted()) {
            return;
        }
        Set<Long> stops = stopping.computeIfAbsent(target, name -> new HashSet<>());
        int limit = Math.min(STOPPING_LIMIT, policy.queue().waiting(first.className(), target));
        while (stops.size() < limit) {
            Optional<RunningRequest> victim = policy.preemption()
                    .victim(
                            nowMillis,
                            waitingClass.tier(),
                            nowMillis - first.arrivedAtMillis(),
                            waitingClass.firstTokenTargetMillis(),
                            requests.values());
            if (victim.isEmpty()) {
                return;
            }
            long requestId = victim.get().requestId();
            requests.remove(requestId);
            stops.add(requestId);
            Submission submission = submissions.get(requestId);
            submissions.put(requestId, submission.preempted());
            listener.preempt(requestId);
        }
    }

    /**
     * Hands out refusals.
     *
     * @param refusals The refusals.
     */
    private void refuse(List<Refusal> refusals) {
        for (Refusal refusal : refusals) {
            forgetUnlessRan(refusal.requestId());
            listener.refuse(refusal);
        }
    }

    /**
     * Forgets a request that never ran; one that ran is kept until its account is corrected.
     *
     * @param requestId The identifier of the request.
     */
    private void forgetUnlessRan(long requestId) {
        Submission submission = submissions.get(requestId);
        if (submission != null && !submission.ran()) {
            submissions.remove(requestId);
        }
    }
}
