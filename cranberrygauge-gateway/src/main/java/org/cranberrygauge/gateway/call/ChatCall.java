package org.cranberrygauge.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.gateway.GatewayEvents;
import org.cranberrygauge.gateway.schedule.PendingCall;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.ErrorCode;
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

    /** The number of tokens of an attempt from which the speed of its backend server is measured. */
    private static final int MEASURED_TOKENS = 4;

    /** What every request works with. */
    private final CallTools tools;

    /** Whose request it is. */
    private final Caller caller;

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

    /** The text of the answer, kept for callers that asked for no stream. */
    private final StringBuilder text = new StringBuilder();

    /** The attempt that runs, or null. */
    private ChatAttempt attempt;

    /** The number of attempts so far. */
    private int attempts;

    /** The number of tokens delivered. */
    private int delivered;

    /** The time of the last token in nanoseconds. */
    private long lastTokenNanos;

    /** The time of the first token of the attempt in nanoseconds. */
    private long attemptTokenNanos;

    /** The number of tokens delivered before the attempt. */
    private int deliveredBefore;

    /** The number of attempts that were stopped for a higher tier. */
    private int preemptions;

    /** The number of prompt tokens as the backend server counts them; -1 while unknown. */
    private int promptTokens = -1;

    /** The last frame, for callers that asked for no stream. */
    private JsonObject lastFrame = new JsonObject();

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
    public ChatCall(CallTools tools, Caller caller, ChatBody body, CallerReply reply, long number) {
        this.tools = tools;
        this.caller = caller;
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
    }

    /** Submits the request. */
    public void begin() {
        tools.active().add(this);
        reply.onVanished(() -> cancel("caller_gone"));
        submit();
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
    public void onFrame(StreamEvent.Frame frame) {
        if (frame.promptTokens() >= 0) {
            promptTokens = frame.promptTokens();
        }
        if (frame.content() != null) {
            observeToken();
        }
        if (body.stream()) {
            reply.stream(Buffer.buffer("data: ")
                    .appendBuffer(frame.json().toBuffer())
                    .appendString("\n\n"));
            return;
        }
        lastFrame = frame.json();
        if (frame.content() != null) {
            text.append(frame.content());
        }
    }

    @Override
    public void onDone() {
        release();
        tools.retries().succeeded();
        if (body.stream()) {
            reply.stream(Buffer.buffer("data: [DONE]\n\n"));
            reply.endStream();
        } else {
            reply.answer(200, "application/json", wholeAnswer());
        }
        finish();
        long totalMillis = tools.time().monotonicMillis() - arrivedAtMillis;
        tools.metrics().total(caller.customer().name(), caller.serviceClass().name(), totalMillis);
        tools.events()
                .emit(new GatewayEvents.RequestSucceeded(
                        reply.requestId(),
                        caller.customer().name(),
                        caller.serviceClass().name(),
                        delivered,
                        totalMillis));
    }

    @Override
    public void onFailed(ErrorCode code, String reason) {
        ChatAttempt failed = attempt;
        release();
        tools.board().failed(tools.time().monotonicMillis(), failed.server());
        boolean again = attempts - preemptions < ATTEMPTS && tools.retries().tryRetry();
        String next = again ? (delivered > 0 ? "resume" : "retry") : "give_up";
        tools.metrics().failedAttempt(caller.serviceClass().name(), next);
        tools.events()
                .emit(new GatewayEvents.AttemptFailed(
                        reply.requestId(), failed.attempt(), failed.server().name(), reason, next));
        if (again) {
            submit();
            return;
        }
        finish();
        reply.fail(RequestFailure.mayHaveRun(code, "the backend server failed: " + reason));
    }

    /** Waits for a backend server. */
    private void submit() {
        tools.scheduler()
                .submit(new PendingCall(
                        queued,
                        body.routing(),
                        server -> reply.context().runOnContext(ignored -> start(server)),
                        refusal -> reply.context().runOnContext(ignored -> refused(refusal)),
                        () -> reply.context().runOnContext(ignored -> preempted())));
    }

    /**
     * Starts an attempt.
     *
     * @param server The backend server.
     */
    private void start(BackendServer server) {
        if (ended) {
            tools.scheduler().ended(number, server);
            tools.scheduler().account(queued, 0);
            return;
        }
        attempts++;
        long waitedMillis = tools.time().monotonicMillis() - arrivedAtMillis;
        if (attempts == 1) {
            tools.metrics()
                    .queueWait(caller.customer().name(), caller.serviceClass().name(), waitedMillis);
        }
        deliveredBefore = delivered;
        attempt = new ChatAttempt(reply.requestId() + "-" + attempts, server, this);
        tools.events()
                .emit(new GatewayEvents.RequestStarted(
                        reply.requestId(), attempt.attempt(), server.name(), waitedMillis));
        UsageKey label = usageKey();
        Map<String, String> headers = Map.of(
                "Content-Type",
                "application/json",
                "X-Priority",
                String.valueOf(caller.serviceClass().tier()),
                BackendClient.USAGE_LABEL_HEADER,
                label.toString());
        attempt.start(tools.client(), headers, body.forBackend(delivered));
    }

    /** Stops the attempt for a request of a higher tier and submits the rest again. */
    private void preempted() {
        if (ended || attempt == null) {
            return;
        }
        ChatAttempt stopped = attempt;
        stopped.cancel();
        release();
        tools.events()
                .emit(new GatewayEvents.RequestPreempted(
                        reply.requestId(), stopped.attempt(), stopped.server().name(), delivered));
        preemptions++;
        submit();
    }

    /**
     * Refuses the request.
     *
     * @param refusal The refusal.
     */
    private void refused(Refusal refusal) {
        if (ended) {
            return;
        }
        finish();
        tools.metrics().refused(caller.serviceClass().name(), refusal.code().text());
        tools.events()
                .emit(new GatewayEvents.RequestRefused(
                        reply.requestId(),
                        caller.customer().name(),
                        caller.serviceClass().name(),
                        refusal.code().text(),
                        attempts == 0,
                        refusal.retryAfterMillis()));
        reply.fail(new RequestFailure(
                refusal.code(), "no capacity for this class now", attempts == 0, refusal.retryAfterMillis()));
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
        int measured = delivered - deliveredBefore;
        if (measured >= MEASURED_TOKENS) {
            double nanos = (double) (lastTokenNanos - attemptTokenNanos) / (measured - 1);
            tools.board().measured(attempt.server(), nanos / TimeUnit.MILLISECONDS.toNanos(1));
        }
        tools.scheduler().ended(number, attempt.server());
        attempt = null;
    }

    /** Ends the request and counts its usage. */
    private void finish() {
        ended = true;
        tools.active().remove(this);
        if (attempts == 0) {
            return;
        }
        int prompt = promptTokens >= 0 ? promptTokens : body.promptTokens();
        tools.usage().count(usageKey(), new UsageFigures(1, prompt, delivered));
        tools.scheduler().account(queued, prompt + (long) delivered);
    }

    /** Observes a token. */
    private void observeToken() {
        long nowNanos = System.nanoTime();
        String customer = caller.customer().name();
        String className = caller.serviceClass().name();
        if (delivered == 0) {
            tools.metrics().firstToken(customer, className, tools.time().monotonicMillis() - arrivedAtMillis);
        } else {
            double micros = TimeUnit.NANOSECONDS.toMicros(nowNanos - lastTokenNanos);
            tools.metrics().betweenTokens(customer, className, micros / TimeUnit.MILLISECONDS.toMicros(1));
        }
        if (delivered == deliveredBefore) {
            attemptTokenNanos = nowNanos;
        }
        lastTokenNanos = nowNanos;
        delivered++;
    }

    /**
     * Builds the answer for a caller that asked for no stream.
     *
     * @return The answer.
     */
    private Buffer wholeAnswer() {
        JsonObject message = new JsonObject().put("role", "assistant").put("content", text.toString());
        JsonObject choice =
                new JsonObject().put("index", 0).put("message", message).put("finish_reason", "stop");
        JsonObject usage = new JsonObject()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", delivered)
                .put("total_tokens", promptTokens + delivered);
        return lastFrame
                .copy()
                .put("object", "chat.completion")
                .put("choices", new JsonArray().add(choice))
                .put("usage", usage)
                .toBuffer();
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
