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
 * <p>Invariants: each submission of a request leads to exactly one start or refusal, unless the request is cancelled;
 * no request is refused because of its predicted wait while a preemptible request of a lower tier runs; a request that
 * started by the guaranteed share of its class is never preempted; no more requests are preempted for a target than
 * higher-tier requests wait for it. Not thread-safe; callers serialize access.
 */
public final class Dispatcher {

    /** The number of preempted requests per target whose slots may be pending release. */
    private static final int MAXIMUM_PENDING_PREEMPTIONS = 4;

    /** The number of prompt tokens that are processed in the time of one output token on a loaded engine. */
    private static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 64;

    private final DispatchPolicy policy;

    private final DispatchListener listener;

    private final RandomGenerator random;

    private final Map<String, ServiceClass> classes = new HashMap<>();

    /** The waiting and running requests by identifier. */
    private final Map<Long, Submission> submissions = new HashMap<>();

    /** The preemptible running requests by target. */
    private final Map<String, Map<Long, RunningRequest>> running = new HashMap<>();

    /** The preempted requests whose slots are not released yet, by target. */
    private final Map<String, Set<Long>> pendingPreemptions = new HashMap<>();

    /** The targets of all submitted requests. */
    private final Set<String> targets = new TreeSet<>();

    public Dispatcher(DispatchPolicy policy, DispatchListener listener, RandomGenerator random) {
        this.policy = policy;
        this.listener = listener;
        this.random = random;
    }

    public BackendTable table() {
        return policy.table();
    }

    /** Replaces the service classes. */
    public void configure(List<ServiceClass> replacement) {
        classes.clear();
        replacement.forEach(serviceClass -> classes.put(serviceClass.name(), serviceClass));
        policy.queue().configure(replacement);
    }

    /**
     * Submits a request, for the first time or for a further attempt.
     *
     * @param request The request; its cost is that of the prompt and the longest possible output.
     * @param resumable Whether the request can be stopped and resumed on another backend server.
     * @param eligibility Restricts the backend servers on which the request may start.
     */
    public void submit(
            long nowMillis, QueuedRequest request, RoutingRequest routing, boolean resumable, Eligibility eligibility) {
        Submission before = submissions.get(request.requestId());
        long cost = work(routing.promptTokens(), estimateOutput(request, routing));
        QueuedRequest queued =
                before == null ? request.withEstimatedTokens(cost) : request.forNextAttempt(nowMillis, cost);
        int preemptions = before == null ? 0 : before.preemptions();
        boolean ran = before != null && before.ran();
        submissions.put(request.requestId(), new Submission(queued, routing, resumable, preemptions, ran, eligibility));
        targets.add(request.target());
        List<Refusal> refusals =
                ran ? policy.queue().resume(nowMillis, queued) : policy.queue().offer(nowMillis, queued);
        boolean refused = refusals.stream().anyMatch(refusal -> refusal.requestId() == request.requestId());
        if (refused && !ran && hasPreemptibleRequest(queued)) {
            refusals = policy.queue().resume(nowMillis, queued);
        }
        refuse(refusals);
        startEligible(nowMillis);
    }

    /** Removes a request whose caller has disconnected. */
    public void cancel(long requestId) {
        policy.queue().remove(requestId);
        discardUnlessRan(requestId);
    }

    /** Releases the slot of an attempt that has ended. */
    public void ended(long nowMillis, long requestId, String server) {
        running.values().forEach(requests -> requests.remove(requestId));
        pendingPreemptions.values().forEach(requests -> requests.remove(requestId));
        Submission submission = submissions.get(requestId);
        if (submission != null && !submission.resumable()) {
            submissions.remove(requestId);
        }
        policy.table().ended(server);
        startEligible(nowMillis);
    }

    /**
     * Removes a request that has ended for good and corrects the charge of its customer.
     *
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
     * Refuses requests past their deadline, starts what can start and preempts for requests that cannot. Called
     * periodically.
     */
    public void tick(long nowMillis) {
        policy.table().refresh(nowMillis);
        refuse(policy.queue().expire(nowMillis));
        startEligible(nowMillis);
        for (String target : targets) {
            preempt(nowMillis, target);
        }
    }

    /** Returns the number of waiting requests of a class. */
    public int waiting(String className) {
        return policy.queue().waiting(className);
    }

    /**
     * Returns the work of a request, as used for fair sharing and for the drain rate.
     *
     * @return The work in output tokens.
     */
    private static long work(int promptTokens, long outputTokens) {
        return outputTokens + promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    }

    /** Returns whether a lower-tier request runs on the same target that can still be preempted for a request. */
    private boolean hasPreemptibleRequest(QueuedRequest request) {
        ServiceClass serviceClass = classes.get(request.className());
        if (serviceClass == null) {
            return false;
        }
        return running.getOrDefault(request.target(), Map.of()).values().stream()
                .anyMatch(other -> policy.preemption().mayPreempt(serviceClass.tier(), other));
    }

    /**
     * Estimates the output of a request.
     *
     * @return The output in tokens.
     */
    private long estimateOutput(QueuedRequest request, RoutingRequest routing) {
        int limit = (int) Math.max(1, request.estimatedTokens() - routing.promptTokens());
        if (routing.promptTokens() == 0) {
            return limit;
        }
        return policy.estimate().remainingTokens(request.customer(), request.className(), 0, limit);
    }

    /** Starts waiting requests as long as one can start. */
    private void startEligible(long nowMillis) {
        if (!hasFreeSlot()) {
            return;
        }
        Set<String> fullTargets = new HashSet<>();
        Optional<QueueStart> next = policy.queue().next(nowMillis, request -> canStart(request, fullTargets));
        while (next.isPresent()) {
            start(nowMillis, next.get());
            if (!hasFreeSlot()) {
                return;
            }
            next = policy.queue().next(nowMillis, request -> canStart(request, fullTargets));
        }
    }

    /** Returns whether any target has a free slot; a cheap check before the queue is searched. */
    private boolean hasFreeSlot() {
        for (String target : targets) {
            if (policy.table().candidates(target).size() > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a request could start now.
     *
     * @param fullTargets Collects the targets without a free slot.
     */
    private boolean canStart(QueuedRequest request, Set<String> fullTargets) {
        if (fullTargets.contains(request.target())) {
            return false;
        }
        Candidates candidates = policy.table().candidates(request.target());
        if (candidates.size() == 0) {
            fullTargets.add(request.target());
            return false;
        }
        Submission submission = submissions.get(request.requestId());
        return !submission.eligibility().isRestricted()
                || findEligible(submission, candidates).isPresent();
    }

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
        if (submission.resumable() && !next.guaranteed() && serviceClass != null) {
            RunningRequest runningRequest =
                    new RunningRequest(request.requestId(), serviceClass.tier(), nowMillis, submission.preemptions());
            running.computeIfAbsent(request.target(), name -> new LinkedHashMap<>())
                    .put(request.requestId(), runningRequest);
        }
        listener.start(request, chosen.server(), next.guaranteed());
    }

    /**
     * Chooses the backend server for a request.
     *
     * @param candidates The backend servers with a free slot.
     * @return The choice, or empty if a restriction changed since the request was dequeued.
     */
    private Optional<BackendView> choose(long nowMillis, Submission submission, Candidates candidates) {
        if (submission.eligibility().isRestricted()) {
            return findEligible(submission, candidates);
        }
        return policy.routing()
                .choose(nowMillis, submission.routing(), candidates, random)
                .or(() -> Optional.of(candidates.get(0)));
    }

    /**
     * Returns the least loaded backend server on which a restricted request may start.
     *
     * @param candidates The backend servers with a free slot.
     * @return The backend server, or empty if none is eligible.
     */
    private static Optional<BackendView> findEligible(Submission submission, Candidates candidates) {
        int healthy = candidates.healthy();
        return IntStream.range(0, candidates.size())
                .mapToObj(candidates::get)
                .filter(view -> submission.eligibility().allows(view.server(), healthy))
                .min(Comparator.comparingInt(BackendView::inFlight));
    }

    /**
     * Preempts lower-tier requests while the first request in line has waited too long, unless that request is
     * restricted to certain backend servers.
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
        Set<Long> pending = pendingPreemptions.computeIfAbsent(target, name -> new HashSet<>());
        int limit = Math.min(MAXIMUM_PENDING_PREEMPTIONS, policy.queue().waiting(first.className(), target));
        while (pending.size() < limit) {
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
            pending.add(requestId);
            Submission submission = submissions.get(requestId);
            submissions.put(requestId, submission.preempted());
            listener.preempt(requestId);
        }
    }

    private void refuse(List<Refusal> refusals) {
        for (Refusal refusal : refusals) {
            discardUnlessRan(refusal.requestId());
            listener.refuse(refusal);
        }
    }

    /** Removes a request that never ran. One that ran is kept until its charge is corrected. */
    private void discardUnlessRan(long requestId) {
        Submission submission = submissions.get(requestId);
        if (submission != null && !submission.ran()) {
            submissions.remove(requestId);
        }
    }
}
