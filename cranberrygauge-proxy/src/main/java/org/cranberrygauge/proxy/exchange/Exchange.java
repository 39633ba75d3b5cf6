package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.admission.WaitQueue.Entry;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.exchange.BackendAttempt.WholeAnswer;
import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.retry.NextStep;
import org.cranberrygauge.proxy.retry.RetryPolicy;
import org.cranberrygauge.proxy.routing.BackendChooser;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;

/**
 * The life of one request, from its admission to its final answer.
 *
 * <p>Invariants: at most one attempt is in progress; exactly one final answer is given; it is given at the end of the
 * request's time at the latest; the attempt in progress ends with the caller. Used by one thread.
 */
final class Exchange implements BackendAttempt.Listener {

    /** The tools. */
    private final ExchangeContext context;

    /** The request. */
    private final ProxyRequest request;

    /** The answer to the caller. */
    private final CallerReply reply;

    /** Tells what becomes of the request. */
    private final ExchangeRecorder report;

    /** The incarnations of backend servers that were tried. */
    private final Set<String> tried = new HashSet<>();

    /** What happened so far. */
    private AttemptHistory history = AttemptHistory.NONE;

    /** The attempt in progress. */
    private BackendAttempt attempt;

    /** What the attempt in progress adds to the load. */
    private Placement placement;

    /** The identifier of the last event that was passed on, or the caller's. */
    private Optional<String> lastEventId;

    /** The last whole answer that told of a failure. */
    private Optional<WholeAnswer> failure = Optional.empty();

    /** The monotonic time at which the attempt in progress started. */
    private long attemptMillis;

    /** Whether the request's bytes went out on the connection of the attempt in progress. */
    private boolean sent;

    /** Whether the request waits for room. */
    private boolean waiting;

    /** Whether the final answer was given. */
    private boolean over;

    /** The timer that ends the request. */
    private long timer;

    /**
     * Creates an exchange.
     *
     * @param context The tools.
     * @param request The request.
     * @param reply The answer to the caller.
     */
    Exchange(ExchangeContext context, ProxyRequest request, CallerReply reply) {
        this.context = context;
        this.request = request;
        this.reply = reply;
        this.report = new ExchangeRecorder(context, request);
        this.lastEventId = request.head().lastEventId();
    }

    /** Starts the exchange. */
    void start() {
        long now = now();
        context.state().active().incrementAndGet();
        reply.onGone(this::callerGone);
        if (request.endMillis() <= now) {
            reject(RejectReason.EXPIRED);
            return;
        }
        timer = context.vertx().setTimer(request.endMillis() - now, fired -> expire());
        if (context.crashes().isBlocked(request::fingerprint)) {
            reject(RejectReason.CRASHES_BACKENDS);
            return;
        }
        context.budgets().of(request.pool().name()).recordRequest(now);
        if (!tryNext()) {
            reject(RejectReason.NO_BACKEND);
        }
    }

    @Override
    public void sent() {
        sent = true;
    }

    @Override
    public void events(int status, MultiMap headers, Buffer events, Optional<String> lastId) {
        if (over) {
            return;
        }
        begin(status, headers);
        lastEventId = lastId.or(() -> lastEventId);
        reply.write(events);
        if (reply.isFull()) {
            BackendAttempt reading = attempt;
            reading.pause();
            reply.onDrained(drained -> reading.resume());
        }
    }

    @Override
    public void streamEnd(int status, MultiMap headers) {
        begin(status, headers);
        context.load(request.pool(), attempt.backend()).recordSuccess();
        reply.endStream();
        end("served", status);
    }

    @Override
    public void whole(WholeAnswer answer) {
        report.began();
        if (answer.isServerError()) {
            failure = Optional.of(answer);
            failed(AttemptOutcome.SERVER_ERROR, "status " + answer.status());
            return;
        }
        context.load(request.pool(), attempt.backend()).recordSuccess();
        if (history.streaming()) {
            cut("resumed_with_status");
            return;
        }
        report.first(now());
        passOn(answer, "served");
    }

    @Override
    public void failed(AttemptOutcome reported, String detail) {
        AttemptOutcome outcome =
                reported == AttemptOutcome.BROKEN && history.streaming() ? AttemptOutcome.STREAM_BROKEN : reported;
        long now = now();
        Backend backend = attempt.backend();
        placement.end();
        recordFailure(backend, outcome, now);
        history = history.withOutcome(outcome);
        long remaining = request.endMillis() - now;
        NextStep next = RetryPolicy.next(request.route(), history, outcome, remaining);
        boolean another = next == NextStep.TRY_ANOTHER && mayRetry(outcome, now);
        if (next == NextStep.TRY_ANOTHER && !another) {
            next = RetryPolicy.withoutRetry(history, outcome);
        }
        report.attemptFailed(backend, outcome, detail, next, history, remaining, now - attemptMillis);
        follow(next, outcome);
    }

    /**
     * Takes the next step after a failed attempt.
     *
     * @param next The next step.
     * @param outcome How the attempt ended.
     */
    private void follow(NextStep next, AttemptOutcome outcome) {
        if (next == NextStep.TRY_ANOTHER) {
            if (tryNext()) {
                return;
            }
            follow(RetryPolicy.withoutRetry(history, outcome), outcome);
            return;
        }
        switch (next) {
            case REFUSE ->
                reject(outcome == AttemptOutcome.NOT_RUN ? RejectReason.BACKENDS_FULL : RejectReason.NO_BACKEND);
            case PASS_ON -> passOn(failure.orElseThrow(), "server_error");
            case CUT -> cut("stream_broken");
            default -> passOnOrReport();
        }
    }

    /** Passes on an earlier failure of a backend server, or says that the request may have run. */
    private void passOnOrReport() {
        if (failure.isPresent()) {
            passOn(failure.get(), "server_error");
        } else {
            reject(RejectReason.BACKEND_BROKE);
        }
    }

    /**
     * Notes a failed attempt.
     *
     * @param backend The backend server.
     * @param outcome How the attempt ended.
     * @param now The present monotonic time in milliseconds.
     */
    private void recordFailure(Backend backend, AttemptOutcome outcome, long now) {
        context.load(request.pool(), backend).recordFailure(now, outcome != AttemptOutcome.NOT_CONNECTED);
        if (outcome == AttemptOutcome.BROKEN && !request.route().kind().streams()) {
            report.began();
        }
        if (outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.STREAM_BROKEN) {
            context.crashes().record(now, request.fingerprint());
        }
    }

    /**
     * Asks the budget for another attempt.
     *
     * @param outcome How the last attempt ended.
     * @param now The present monotonic time in milliseconds.
     * @return Whether another attempt is allowed.
     */
    private boolean mayRetry(AttemptOutcome outcome, long now) {
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            return true;
        }
        if (context.crashes().isBlocked(request::fingerprint)) {
            return false;
        }
        return context.budgets()
                .of(request.pool().name())
                .tryAcquire(now, context.state().peers().hosts());
    }

    /**
     * Sends the request to the next backend server, or lets it wait for room.
     *
     * @return Whether there is one.
     */
    private boolean tryNext() {
        long now = now();
        Optional<Choice> choice = choose(now);
        if (choice.isEmpty()) {
            return false;
        }
        if (choice.get().saturated() && history.sent() == 0) {
            joinLine(choice.get());
            return true;
        }
        send(now, choice.get());
        return true;
    }

    /**
     * Lets the request wait for room.
     *
     * @param choice The best choice, which has no room.
     */
    private void joinLine(Choice choice) {
        if (waiting) {
            return;
        }
        waiting = true;
        long tokens = context.load(request.pool(), choice.backend())
                .uncachedTokens(request.head().prompt());
        long readMillis = (long) (tokens / BackendChooser.PREFILL_TOKENS_PER_MILLI);
        context.lines()
                .of(request.pool().name())
                .add(new Entry<>(this, request.urgency(), request.onTimeMillis() - readMillis, request.giveUpMillis()));
    }

    /**
     * Sends the request if there is room for it by now.
     *
     * @return Whether the request waits no more.
     */
    boolean tryDispatch() {
        Optional<Choice> choice = choose(now());
        if (choice.isEmpty() || choice.get().saturated()) {
            return false;
        }
        waiting = false;
        send(now(), choice.get());
        return true;
    }

    /** Refuses the request, which has waited for room and is out of the line. */
    void expireInQueue() {
        waiting = false;
        reject(RejectReason.BACKENDS_FULL);
    }

    /**
     * Chooses a backend server.
     *
     * @param now The present monotonic time in milliseconds.
     * @return The choice, or nothing if there is none left.
     */
    private Optional<Choice> choose(long now) {
        return context.chooser()
                .choose(
                        now,
                        request.pool(),
                        context.state().backends().ready(request.pool().name()),
                        tried,
                        request.head().prompt(),
                        context.state().peers());
    }

    /**
     * Sends the request to a backend server.
     *
     * @param now The present monotonic time in milliseconds.
     * @param choice The backend server.
     */
    private void send(long now, Choice choice) {
        Backend backend = choice.backend();
        report.chosen(choice);
        tried.add(backend.incarnation());
        placement = context.load(request.pool(), backend).place(request.head().prompt());
        context.placements().record(now, backend.incarnation(), request.head().prompt());
        attempt = new BackendAttempt(context.dialect(), request, backend, this);
        attemptMillis = now;
        sent = false;
        attempt.start(context.client(), request.endMillis() - now, lastEventId);
    }

    /**
     * Starts the answer of a stream with its first events.
     *
     * @param status The status.
     * @param headers The headers of the backend server's answer.
     */
    private void begin(int status, MultiMap headers) {
        placement.started();
        report.began();
        if (history.streaming()) {
            return;
        }
        history = history.withStart();
        report.first(now());
        MultiMap passed = MultiMap.caseInsensitiveMultiMap();
        context.dialect().copyAnswer(headers, passed);
        reply.startStream(status, passed);
    }

    /**
     * Passes on a whole answer.
     *
     * @param answer The answer.
     * @param outcome How the request ended.
     */
    private void passOn(WholeAnswer answer, String outcome) {
        MultiMap passed = MultiMap.caseInsensitiveMultiMap();
        context.dialect().copyAnswer(answer.headers(), passed);
        reply.passOn(answer.status(), passed, answer.body());
        end(outcome, answer.status());
    }

    /**
     * Gives an answer of the proxy's own.
     *
     * @param reason The reason.
     */
    private void reject(RejectReason reason) {
        reply.reject(reason);
        end(reason.name(), reason.status());
    }

    /**
     * Closes the connection to the caller within a stream.
     *
     * @param outcome How the request ended.
     */
    private void cut(String outcome) {
        reply.cut();
        end(outcome, 0);
    }

    /** Ends the request at the end of its time. */
    private void expire() {
        if (over) {
            return;
        }
        boolean mayHaveRun = history.mayHaveRun() || sent;
        abandonAttempt();
        if (history.streaming()) {
            cut("timed_out_midway");
            return;
        }
        reject(mayHaveRun ? RejectReason.TIMED_OUT : RejectReason.EXPIRED);
    }

    /** Ends the attempt in progress, whose request may have run if it was sent. */
    private void abandonAttempt() {
        if (attempt == null) {
            return;
        }
        attempt.abandon();
        if (sent && !request.route().kind().streams()) {
            report.began();
        }
    }

    /** Ends the request since its caller has left. */
    private void callerGone() {
        if (over) {
            return;
        }
        abandonAttempt();
        end("caller_left", 0);
    }

    /**
     * Notes the end of the request.
     *
     * @param outcome How it ended.
     * @param status The status of the answer; 0 if the connection was closed.
     */
    private void end(String outcome, int status) {
        over = true;
        context.vertx().cancelTimer(timer);
        context.state().active().decrementAndGet();
        if (waiting) {
            context.lines().of(request.pool().name()).remove(this);
        }
        if (placement != null) {
            placement.end();
        }
        String backend = attempt == null ? "-" : attempt.backend().id();
        report.ended(now(), outcome, status, backend, history.sent() + (sent ? 1 : 0));
    }

    /**
     * Returns the present time.
     *
     * @return The monotonic time in milliseconds.
     */
    private long now() {
        return context.time().monotonicMillis();
    }
}
