package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
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
 * One completion on its way.
 *
 * <p>Invariants: the caller gets each token once and in order, also when the stream moves to another backend server; it
 * gets exactly one end; the slot of each attempt is freed exactly once. Used on the context of the caller's connection,
 * but for the methods that say otherwise.
 */
public final class ChatCall implements ActiveCall, ChatAttempt.Listener {

    /** The number of attempts after which a request is given up. */
    private static final int ATTEMPTS = 4;

    /** What every request works with. */
    private final CallDependencies tools;

    /** Whose request it is. */
    private final Caller caller;

    /** Writes the events. */
    private final CallTelemetry events;

    /** The body. */
    private final ChatBody body;

    /** The answer to the caller. */
    private final CallerReply reply;

    /** The number of the request in this gateway. */
    private final long number;

    /** The monotonic time of the arrival. */
    private final long arrivedAtMillis;

    /** What admission knows. */
    private final QueuedRequest queued;

    /** What recognises the request when it is sent again. */
    private final RequestFingerprint fingerprint;

    /** The answer as gathered for callers that asked for no stream. */
    private final WholeAnswer whole = new WholeAnswer();

    /** The tokens that the caller got. */
    private final TokenMeter meter = new TokenMeter();

    /** The attempt that runs, or null. */
    private ChatAttempt attempt;

    /** The number of attempts so far. */
    private int attempts;

    /** The number of attempts that were stopped for a higher tier. */
    private int preemptions;

    /** The number of prompt tokens as the backend server counts them; -1 while unknown. */
    private int promptTokens = -1;

    /** The monotonic time of the start of the attempt. */
    private long attemptAtMillis;

    /** Whether the answer can go on at another backend server, which it can't after a part of a tool call. */
    private boolean resumable = true;

    /** Whether the request has ended. */
    private boolean ended;

    /**
     * Creates a request.
     *
     * @param tools What every request works with.
     * @param caller Whose request it is.
     * @param body The body.
     * @param reply The answer to the caller.
     * @param number The number of the request in this gateway.
     */
    public ChatCall(CallDependencies tools, Caller caller, ChatBody body, CallerReply reply, long number) {
        this.tools = tools;
        this.caller = caller;
        this.events = new CallTelemetry(tools, caller, reply.requestId());
        this.body = body;
        this.reply = reply;
        this.number = number;
        this.arrivedAtMillis = tools.time().monotonicMillis();
        this.queued = new QueuedRequest(
                number,
                caller.customer().name(),
                caller.customer().weight(),
                caller.serviceClass().name(),
                body.model(),
                body.promptTokens() + (long) body.maxTokens(),
                arrivedAtMillis,
                arrivedAtMillis + caller.serviceClass().longestWaitMillis());
        this.fingerprint = RequestFingerprint.of(caller.customer().name(), body.path(), body.canonical());
    }

    /** Submits the request. */
    public void begin() {
        tools.active().add(this);
        reply.onVanished(() -> cancel("caller_gone"));
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
    public void reconsider() {
        reply.context().runOnContext(ignored -> {
            if (!ended && attempt == null) {
                tools.guard().refusal(fingerprint).ifPresent(this::refuse);
            }
        });
    }

    @Override
    public void onFrame(StreamEvent.Frame frame) {
        if (frame.promptTokens() >= 0) {
            promptTokens = frame.promptTokens();
        }
        if (frame.content() != null) {
            observeToken();
        }
        resumable &= frame.toolCalls().isEmpty();
        if (body.stream()) {
            deliver(frame.json());
        } else {
            whole.add(frame);
        }
    }

    @Override
    public void onDone() {
        release();
        tools.guard().completed(fingerprint);
        retries().succeeded();
        if (body.stream()) {
            reply.stream(Buffer.buffer("data: [DONE]\n\n"));
            reply.endStream();
        } else {
            reply.answer(200, "application/json", whole.build(body.isChat(), promptTokens, meter.delivered()));
        }
        finish();
        events.succeeded(meter.delivered(), tools.time().monotonicMillis() - arrivedAtMillis);
    }

    @Override
    public void onFailed(AttemptFailure failure) {
        ChatAttempt failed = attempt;
        release();
        if (failure.kind() == AttemptFailure.Kind.REJECTED) {
            giveUp(failed, failure);
            return;
        }
        tools.board().failed(tools.time().monotonicMillis(), failed.server());
        if (failure.kind() != AttemptFailure.Kind.CONNECTION_LOST) {
            goOn(failed, failure);
            return;
        }
        tools.guard()
                .lost(fingerprint, failed.server(), attemptAtMillis)
                .onSuccess(crashed -> events.lost(failed.attempt(), failed.server(), crashed))
                .onComplete(judged -> reply.context().runOnContext(ignored -> goOn(failed, failure)));
    }

    /**
     * Tries again after a failed attempt, or gives up.
     *
     * @param failed The attempt.
     * @param failure How it failed.
     */
    private void goOn(ChatAttempt failed, AttemptFailure failure) {
        if (ended) {
            return;
        }
        Optional<RequestFailure> quarantined = tools.guard().refusal(fingerprint);
        if (quarantined.isPresent()) {
            events.attemptFailed(failed.attempt(), failed.server(), failure, "quarantine");
            refuse(quarantined.get());
            return;
        }
        if (attempts - preemptions >= ATTEMPTS
                || !(resumable || meter.delivered() == 0)
                || !retries().tryRetry()) {
            giveUp(failed, failure);
            return;
        }
        events.attemptFailed(failed.attempt(), failed.server(), failure, meter.delivered() > 0 ? "resume" : "retry");
        submit(queued.withDeadline(
                tools.time().monotonicMillis() + caller.serviceClass().longestWaitMillis()));
    }

    /**
     * Ends the request after a failed attempt.
     *
     * @param failed The attempt.
     * @param failure How it failed.
     */
    private void giveUp(ChatAttempt failed, AttemptFailure failure) {
        events.attemptFailed(failed.attempt(), failed.server(), failure, "give_up");
        finish();
        reply.fail(RequestFailure.mayHaveRun(failure.code(), "the backend server failed: " + failure.reason()));
    }

    /**
     * Waits for a backend server.
     *
     * @param request What admission knows.
     */
    private void submit(QueuedRequest request) {
        Optional<RequestFailure> quarantined = tools.guard().refusal(fingerprint);
        if (quarantined.isPresent()) {
            refuse(quarantined.get());
            return;
        }
        long submittedAtMillis = tools.time().monotonicMillis();
        tools.scheduler()
                .submit(new PendingCall(
                        request,
                        body.routing(),
                        tools.guard().eligibility(fingerprint, submittedAtMillis),
                        this::chosen,
                        refusal -> reply.context().runOnContext(ignored -> refused(refusal)),
                        resumable ? () -> reply.context().runOnContext(ignored -> preempted()) : null));
    }

    /**
     * Takes the backend server that was chosen, on the thread that chose.
     *
     * @param server The backend server.
     */
    private void chosen(BackendServer server) {
        tools.guard().started(run(attempts + 1), server);
        reply.context().runOnContext(ignored -> start(server));
    }

    /**
     * Starts an attempt.
     *
     * @param server The backend server.
     */
    private void start(BackendServer server) {
        if (ended) {
            tools.guard().ended(run(attempts + 1));
            tools.scheduler().ended(number, server);
            tools.scheduler().account(queued, 0);
            return;
        }
        attempts++;
        attemptAtMillis = tools.time().monotonicMillis();
        long waitedMillis = attemptAtMillis - arrivedAtMillis;
        if (attempts == 1) {
            tools.metrics()
                    .queueWait(caller.customer().name(), caller.serviceClass().name(), waitedMillis);
        }
        meter.beginAttempt();
        attempt = new ChatAttempt(
                reply.requestId() + "-" + attempts,
                server,
                this,
                tools,
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
        attempt.start(tools.client(), body.path(), headers, body.forBackend(meter.delivered()));
    }

    /**
     * Refuses the request as the queue decided.
     *
     * @param refusal The refusal.
     */
    private void refused(Refusal refusal) {
        refuse(new RequestFailure(refusal.code(), "no capacity for this class now", true, refusal.retryAfterMillis()));
    }

    /** Stops the attempt for a request of a higher tier and submits the rest again. */
    private void preempted() {
        if (ended || attempt == null || !resumable) {
            return;
        }
        ChatAttempt stopped = attempt;
        stopped.cancel();
        release();
        tools.events()
                .emit(new GatewayEvents.RequestPreempted(
                        reply.requestId(), stopped.attempt(), stopped.server().name(), meter.delivered()));
        preemptions++;
        submit(queued);
    }

    /**
     * Refuses the request.
     *
     * @param failure The failure, whose claim of "not run" is corrected where something was sent.
     */
    private void refuse(RequestFailure failure) {
        if (ended) {
            return;
        }
        tools.scheduler().cancel(number);
        finish();
        RequestFailure truthful = failure.withNotRun(failure.notRun() && attempts == 0);
        events.refused(truthful);
        reply.fail(truthful);
    }

    /**
     * Cancels the request.
     *
     * @param reason The reason code.
     */
    private void cancel(String reason) {
        if (ended) {
            return;
        }
        tools.scheduler().cancel(number);
        if (attempt != null) {
            attempt.cancel();
            release();
        }
        finish();
        tools.events().emit(new GatewayEvents.RequestCancelled(reply.requestId(), reason));
    }

    /** Frees the slot of the attempt. */
    private void release() {
        tools.guard().ended(run(attempts));
        meter.meanIntervalMillis().ifPresent(millis -> tools.board().measured(attempt.server(), millis));
        tools.scheduler().ended(number, attempt.server());
        attempt = null;
    }

    /**
     * Sends a frame to a caller that asked for a stream, with the usage only if it asked for that.
     *
     * @param frame The frame.
     */
    private void deliver(JsonObject frame) {
        if (!body.wantsUsage() && frame.containsKey("usage")) {
            frame.remove("usage");
            if (frame.getJsonArray("choices").isEmpty()) {
                return;
            }
        }
        reply.stream(Buffer.buffer("data: ").appendBuffer(frame.toBuffer()).appendString("\n\n"));
    }

    /** Ends the request and counts its usage. */
    private void finish() {
        ended = true;
        tools.active().remove(this);
        if (attempts == 0) {
            return;
        }
        int prompt = promptTokens >= 0 ? promptTokens : body.promptTokens();
        tools.usage().count(usageKey(), new UsageFigures(1, prompt, meter.delivered()));
        tools.scheduler().account(queued, prompt + (long) meter.delivered());
    }

    /** Observes a token. */
    private void observeToken() {
        String customer = caller.customer().name();
        String className = caller.serviceClass().name();
        OptionalDouble gapMillis = meter.count(System.nanoTime());
        if (gapMillis.isPresent()) {
            tools.metrics().betweenTokens(customer, className, gapMillis.getAsDouble());
            return;
        }
        tools.metrics().firstToken(customer, className, tools.time().monotonicMillis() - arrivedAtMillis);
    }

    /**
     * Returns the identifier of a run.
     *
     * @param attemptNumber The number of the attempt.
     * @return The identifier.
     */
    private RunId run(int attemptNumber) {
        return new RunId(fingerprint, reply.requestId() + "-" + attemptNumber);
    }

    /**
     * Returns the retry budget.
     *
     * @return The budget.
     */
    private RetryBudget retries() {
        return tools.retries()
                .of(caller.customer().name(), caller.serviceClass().name());
    }

    /**
     * Returns what usage is counted by.
     *
     * @return The key.
     */
    private UsageKey usageKey() {
        return new UsageKey(caller.customer().name(), caller.serviceClass().name());
    }
}
