package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.memory.Reservation;
import org.cranberrygauge.decision.quarantine.RequestFingerprint;
import org.cranberrygauge.decision.quarantine.RunId;
import org.cranberrygauge.decision.retry.RetryBudget;
import org.cranberrygauge.gateway.GatewayEvents;
import org.cranberrygauge.gateway.schedule.PendingCall;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * One completion request, from admission to its last byte.
 *
 * <p>Invariants: the caller receives each token once and in order, also when the stream is resumed on another backend
 * server; the response ends exactly once; the slot of each attempt is released exactly once; a stream is read no faster than
 * its caller reads it. Used on the context of the caller's connection, except for the methods that state otherwise.
 */
public final class ChatCall implements ActiveCall, ChatAttempt.Listener {

    /** The number of attempts, not counting preempted ones, after which the request fails. */
    private static final int MAX_ATTEMPTS = 4;

    private final CallDependencies dependencies;

    private final Caller caller;

    private final CallTelemetry events;

    private final ChatBody body;

    private final CallerReply reply;

    private final long requestNumber;

    private final long arrivedAtMillis;

    private final QueuedRequest queued;

    private final RequestFingerprint fingerprint;

    private final CompletionAggregator aggregator = new CompletionAggregator();

    /** What the aggregated response uses. */
    private final Reservation memory;

    private final TokenMeter meter = new TokenMeter();

    /** The running attempt, or null. */
    private ChatAttempt attempt;

    private int attempts;

    /** The number of attempts that were stopped in favour of a higher tier. */
    private int preemptions;

    /** The number of prompt tokens as counted by the backend server; -1 while unknown. */
    private int promptTokens = -1;

    private long attemptAtMillis;

    /** Whether another backend server can resume the answer, which is impossible after part of a tool call. */
    private boolean resumable = true;

    private boolean ended;

    public ChatCall(
            CallDependencies dependencies, Caller caller, ChatBody body, CallerReply reply, long requestNumber) {
        this.dependencies = dependencies;
        this.caller = caller;
        this.events = new CallTelemetry(dependencies, caller, reply.requestId());
        this.body = body;
        this.reply = reply;
        this.requestNumber = requestNumber;
        this.arrivedAtMillis = dependencies.time().monotonicMillis();
        this.memory = dependencies.responses().open();
        this.queued = new QueuedRequest(
                requestNumber,
                caller.customer().name(),
                caller.customer().weight(),
                caller.serviceClass().name(),
                body.model(),
                body.promptTokens() + (long) body.maxTokens(),
                arrivedAtMillis,
                arrivedAtMillis + caller.serviceClass().longestWaitMillis());
        this.fingerprint = RequestFingerprint.of(caller.customer().name(), body.path(), body.canonical());
    }

    /** Registers the request and submits it to the scheduler. */
    public void begin() {
        dependencies.activeCalls().add(this);
        reply.onDisconnect(() -> cancel("caller_gone"));
        reply.onDrained(this::resumeReading);
        submit(queued);
    }

    @Override
    public KeyDigest key() {
        return caller.key();
    }

    @Override
    public void abort(RequestFailure failure) {
        reply.context().runOnContext(ignored -> {
            boolean notRun = failure.notRun() && attempts == 0;
            cancel(failure.code().text());
            reply.fail(new RequestFailure(failure.code(), failure.message(), notRun, failure.retryAfterMillis()));
        });
    }

    @Override
    public void recheckQueued() {
        reply.context().runOnContext(ignored -> {
            if (!ended && attempt == null) {
                dependencies.refusal(fingerprint, hasBegun()).ifPresent(this::refuse);
            }
        });
    }

    /** Tells whether the caller has a part of the response. */
    private boolean hasBegun() {
        return body.stream() && meter.delivered() > 0;
    }

    @Override
    public void onChunk(StreamEvent.Chunk chunk) {
        if (chunk.promptTokens() >= 0) {
            promptTokens = chunk.promptTokens();
        }
        if (chunk.content() != null) {
            recordToken();
        }
        resumable &= chunk.toolCalls().isEmpty();
        if (body.stream()) {
            sendChunk(chunk.json());
        } else {
            attempt.keep(aggregator.add(chunk), memory, reply.context());
        }
    }

    @Override
    public void onDone() {
        release();
        dependencies.quarantine().completed(fingerprint);
        retryBudget().succeeded();
        if (body.stream()) {
            reply.writeChunk(Buffer.buffer("data: [DONE]\n\n"));
            reply.endStream();
        } else {
            reply.answer(200, "application/json", aggregator.build(body.isChat(), promptTokens, meter.delivered()));
        }
        finish();
        events.succeeded(meter.delivered(), dependencies.time().monotonicMillis() - arrivedAtMillis);
    }

    @Override
    public void onFailed(AttemptFailure failure) {
        ChatAttempt failedAttempt = attempt;
        release();
        if (failure.kind() == AttemptFailure.Kind.REJECTED) {
            giveUp(failedAttempt, failure);
            return;
        }
        dependencies.backends().recordFailure(dependencies.time().monotonicMillis(), failedAttempt.server());
        if (failure.kind() != AttemptFailure.Kind.CONNECTION_LOST) {
            retryOrGiveUp(failedAttempt, failure);
            return;
        }
        dependencies
                .quarantine()
                .connectionLost(fingerprint, failedAttempt.server(), attemptAtMillis)
                .onSuccess(crashed -> events.connectionLost(failedAttempt.attempt(), failedAttempt.server(), crashed))
                .onComplete(
                        crashResult -> reply.context().runOnContext(ignored -> retryOrGiveUp(failedAttempt, failure)));
    }

    /**
     * Submits the request again after a failed attempt, or fails it if it is quarantined, cannot be resumed, or has
     * exhausted its attempts or its retry budget.
     */
    private void retryOrGiveUp(ChatAttempt failedAttempt, AttemptFailure failure) {
        if (ended) {
            return;
        }
        Optional<RequestFailure> quarantined = dependencies.quarantine().refusal(fingerprint);
        if (quarantined.isPresent()) {
            events.attemptFailed(failedAttempt.attempt(), failedAttempt.server(), failure, "quarantine");
            refuse(quarantined.get());
            return;
        }
        if (attempts - preemptions >= MAX_ATTEMPTS
                || !(resumable || meter.delivered() == 0)
                || !retryBudget().tryRetry()) {
            giveUp(failedAttempt, failure);
            return;
        }
        events.attemptFailed(
                failedAttempt.attempt(), failedAttempt.server(), failure, meter.delivered() > 0 ? "resume" : "retry");
        submit(queued.withDeadline(
                dependencies.time().monotonicMillis() + caller.serviceClass().longestWaitMillis()));
    }

    private void giveUp(ChatAttempt failedAttempt, AttemptFailure failure) {
        events.attemptFailed(failedAttempt.attempt(), failedAttempt.server(), failure, "give_up");
        finish();
        reply.fail(RequestFailure.mayHaveRun(failure.code(), "the backend server failed: " + failure.reason()));
    }

    /** Queues the request for a backend server, unless it is quarantined or this gateway stops. */
    private void submit(QueuedRequest request) {
        Optional<RequestFailure> rejection = dependencies.refusal(fingerprint, hasBegun());
        if (rejection.isPresent()) {
            refuse(rejection.get());
            return;
        }
        long submittedAtMillis = dependencies.time().monotonicMillis();
        dependencies
                .scheduler()
                .submit(new PendingCall(
                        request,
                        body.routing(),
                        dependencies.quarantine().eligibility(fingerprint, submittedAtMillis),
                        this::onBackendChosen,
                        refusal -> reply.context().runOnContext(ignored -> onRefused(refusal)),
                        resumable ? () -> reply.context().runOnContext(ignored -> onPreempted()) : null));
    }

    /** Called on the thread of the scheduler once a backend server was chosen. */
    private void onBackendChosen(BackendServer server) {
        dependencies.quarantine().started(runId(attempts + 1), server);
        reply.context().runOnContext(ignored -> start(server));
    }

    private void start(BackendServer server) {
        dependencies.stopRefusal(hasBegun()).ifPresent(this::refuse);
        if (ended) {
            dependencies.quarantine().ended(runId(attempts + 1));
            dependencies.scheduler().attemptEnded(requestNumber, server);
            dependencies.scheduler().recordCost(queued, 0);
            return;
        }
        attempts++;
        attemptAtMillis = dependencies.time().monotonicMillis();
        long waitedMillis = attemptAtMillis - arrivedAtMillis;
        if (attempts == 1) {
            dependencies
                    .metrics()
                    .queueWait(caller.customer().name(), caller.serviceClass().name(), waitedMillis);
        }
        meter.beginAttempt();
        attempt = new ChatAttempt(
                reply.requestId() + "-" + attempts,
                server,
                this,
                dependencies,
                reply.context().owner());
        events.started(attempt.attempt(), server, waitedMillis);
        UsageKey label = usageKey();
        Map<String, String> headers = Map.of(
                "Content-Type",
                "application/json",
                "X-Priority",
                String.valueOf(caller.serviceClass().tier()),
                BackendClient.USAGE_LABEL_HEADER,
                label.toString());
        attempt.start(dependencies.client(), body.path(), attempts > 1, headers, body.forBackend(meter.delivered()));
    }

    private void onRefused(Refusal refusal) {
        refuse(new RequestFailure(refusal.code(), "no capacity for this class now", true, refusal.retryAfterMillis()));
    }

    /** Stops the running attempt in favour of a higher tier and queues the remainder again. */
    private void onPreempted() {
        if (ended || attempt == null || !resumable) {
            return;
        }
        ChatAttempt stopped = attempt;
        stopped.cancel();
        release();
        dependencies
                .events()
                .emit(new GatewayEvents.RequestPreempted(
                        reply.requestId(), stopped.attempt(), stopped.server().name(), meter.delivered()));
        preemptions++;
        submit(queued);
    }

    /** Ends the request with a failure, whose "not run" flag is cleared if an attempt has been started. */
    private void refuse(RequestFailure failure) {
        if (ended) {
            return;
        }
        dependencies.scheduler().cancel(requestNumber);
        finish();
        RequestFailure corrected = failure.withNotRun(failure.notRun() && attempts == 0);
        events.refused(corrected);
        reply.fail(corrected);
    }

    private void cancel(String reason) {
        if (ended) {
            return;
        }
        dependencies.scheduler().cancel(requestNumber);
        if (attempt != null) {
            attempt.cancel();
            release();
        }
        finish();
        dependencies.events().emit(new GatewayEvents.RequestCancelled(reply.requestId(), reason));
    }

    /** Releases the slot of the attempt and reports the measured token interval. */
    private void release() {
        dependencies.quarantine().ended(runId(attempts));
        meter.meanIntervalMillis()
                .ifPresent(millis -> dependencies.backends().recordTokenInterval(attempt.server(), millis));
        dependencies.scheduler().attemptEnded(requestNumber, attempt.server());
        attempt = null;
    }

    /** Reads on after the caller has, and measures the interval between tokens anew, without the pause. */
    private void resumeReading() {
        if (attempt != null) {
            meter.beginAttempt();
            attempt.resume();
        }
    }

    /**
     * Sends a chunk to a streaming caller, and reads no more of the response while the caller does not read. The usage is
     * removed unless the caller asked for it.
     */
    private void sendChunk(JsonObject chunk) {
        if (!body.wantsUsage() && chunk.containsKey("usage")) {
            chunk.remove("usage");
            if (chunk.getJsonArray("choices").isEmpty()) {
                return;
            }
        }
        reply.writeChunk(Buffer.buffer("data: ").appendBuffer(chunk.toBuffer()).appendString("\n\n"));
        if (reply.isStalled()) {
            attempt.pause();
        }
    }

    /** Ends the request and accounts for its usage. */
    private void finish() {
        ended = true;
        memory.close();
        dependencies.activeCalls().remove(this);
        if (attempts == 0) {
            return;
        }
        int prompt = promptTokens >= 0 ? promptTokens : body.promptTokens();
        dependencies.usage().count(usageKey(), new UsageFigures(1, prompt, meter.delivered()));
        dependencies.scheduler().recordCost(queued, prompt + (long) meter.delivered());
    }

    private void recordToken() {
        String customer = caller.customer().name();
        String className = caller.serviceClass().name();
        OptionalDouble gapMillis = meter.count(System.nanoTime());
        if (gapMillis.isPresent()) {
            dependencies.metrics().betweenTokens(customer, className, gapMillis.getAsDouble());
            return;
        }
        dependencies
                .metrics()
                .firstToken(customer, className, dependencies.time().monotonicMillis() - arrivedAtMillis);
    }

    private RunId runId(int attemptNumber) {
        return new RunId(fingerprint, reply.requestId() + "-" + attemptNumber);
    }

    private RetryBudget retryBudget() {
        return dependencies
                .retries()
                .of(caller.customer().name(), caller.serviceClass().name());
    }

    private UsageKey usageKey() {
        return new UsageKey(caller.customer().name(), caller.serviceClass().name());
    }
}
