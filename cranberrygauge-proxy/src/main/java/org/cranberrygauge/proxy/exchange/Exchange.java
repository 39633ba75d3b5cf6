package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.admission.WaitingLine.Entry;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.exchange.BackendAttempt.WholeAnswer;
import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.retry.NextStep;
import org.cranberrygauge.proxy.retry.RetryRule;
import org.cranberrygauge.proxy.routing.BackendChooser;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.routing.BackendLoad;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;

/**
 * The life of one request, from its admission to its final answer.
 *
 * <p>Invariants: at most one attempt is in progress; exactly one final answer is given; it is given at the end of the
 * request's time at the latest; the attempt in progress ends with the caller. Used by one thread.
 */
final class Exchange implements BackendAttempt.Listener {

    /** The label of requests without a customer. */
    private static final String NO_CUSTOMER = "-";

    /** The part of its time that a request may wait for room. */
    private static final double WAITING_PART = 0.4;

    /** The tools. */
    private final ExchangeTools tools;

    /** The request. */
    private final ProxyRequest request;

    /** The answer to the caller. */
    private final CallerReply reply;

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

    /** The predicted cost of the first choice in milliseconds. */
    private long costMillis = -1;

    /** The time to the first event or whole answer in milliseconds; -1 before it. */
    private long firstMillis = -1;

    /** Whether the request was counted as one that began to run. */
    private boolean counted;

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
     * @param tools The tools.
     * @param request The request.
     * @param reply The answer to the caller.
     */
    Exchange(ExchangeTools tools, ProxyRequest request, CallerReply reply) {
        this.tools = tools;
        this.request = request;
        this.reply = reply;
        this.lastEventId = request.head().lastEventId();
    }

    /** Starts the exchange. */
    void start() {
        long now = now();
        tools.board().active().incrementAndGet();
        reply.onGone(this::callerGone);
        if (request.endMillis() <= now) {
            reject(RejectReason.EXPIRED);
            return;
        }
        timer = tools.vertx().setTimer(request.endMillis() - now, fired -> expire());
        if (!tools.crashes().isEmpty() && tools.crashes().refuses(request.fingerprint())) {
            reject(RejectReason.CRASHES_BACKENDS);
            return;
        }
        tools.budgets().of(request.pool().name()).noteRequest(now);
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
        load(attempt.backend()).noteSuccess();
        reply.endStream();
        end("served", status);
    }

    @Override
    public void whole(WholeAnswer answer) {
        countUsage();
        if (answer.isServerError()) {
            failure = Optional.of(answer);
            failed(AttemptOutcome.SERVER_ERROR, "status " + answer.status());
            return;
        }
        load(attempt.backend()).noteSuccess();
        if (history.streaming()) {
            cut("resumed_with_status");
            return;
        }
        noteFirst();
        passOn(answer, "served");
    }

    @Override
    public void failed(AttemptOutcome reported, String detail) {
        AttemptOutcome outcome =
                reported == AttemptOutcome.BROKEN && history.streaming() ? AttemptOutcome.STREAM_BROKEN : reported;
        long now = now();
        Backend backend = attempt.backend();
        placement.end();
        noteFailure(backend, outcome, now);
        history = history.withOutcome(outcome);
        long remaining = request.endMillis() - now;
        NextStep next = RetryRule.next(request.route(), history, outcome, remaining);
        boolean another = next == NextStep.TRY_ANOTHER && mayRepeat(outcome, now);
        if (next == NextStep.TRY_ANOTHER && !another) {
            next = RetryRule.withoutAnother(history, outcome);
        }
        tools.metrics().attemptFailed(request.pool().name(), outcome.name());
        tools.events()
                .emit(new ExchangeEvents.AttemptFailed(
                        request.id(),
                        backend.id(),
                        outcome.name(),
                        detail,
                        next.name(),
                        history.sent(),
                        remaining,
                        now - attemptMillis));
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
            follow(RetryRule.withoutAnother(history, outcome), outcome);
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
    private void noteFailure(Backend backend, AttemptOutcome outcome, long now) {
        load(backend).noteFailure(now);
        if (outcome == AttemptOutcome.BROKEN && !request.route().kind().streams()) {
            countUsage();
        }
        if (outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.STREAM_BROKEN) {
            tools.crashes().note(now, request.fingerprint());
        }
    }

    /**
     * Asks the budget for another attempt.
     *
     * @param outcome How the last attempt ended.
     * @param now The present monotonic time in milliseconds.
     * @return Whether another attempt is allowed.
     */
    private boolean mayRepeat(AttemptOutcome outcome, long now) {
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            return true;
        }
        if (!tools.crashes().isEmpty() && tools.crashes().refuses(request.fingerprint())) {
            return false;
        }
        return tools.budgets()
                .of(request.pool().name())
                .tryTake(now, tools.board().peers().hosts());
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
        if (choice.get().crowded() && history.sent() == 0) {
            joinLine(now, choice.get());
            return true;
        }
        send(now, choice.get());
        return true;
    }

    /**
     * Lets the request wait for room, or refuses it if the line is too long.
     *
     * @param now The present monotonic time in milliseconds.
     * @param choice The best choice, which has no room.
     */
    private void joinLine(long now, Choice choice) {
        if (waiting) {
            return;
        }
        waiting = true;
        long tokens = load(choice.backend()).uncachedTokens(request.head().prompt());
        long readMillis = (long) (tokens / BackendChooser.READ_TOKENS_PER_MILLI);
        long onTime = request.receivedMillis() + request.route().targetMillis() - readMillis;
        long wait = request.endMillis() - request.receivedMillis();
        long giveUp = request.receivedMillis() + (long) (wait * WAITING_PART);
        tools.lines().of(request.pool().name()).add(new Entry<>(this, request.urgency(), tokens, onTime, giveUp));
    }

    /**
     * Sends the request if there is room for it by now.
     *
     * @return Whether the request waits no more.
     */
    boolean tryWaiting() {
        Optional<Choice> choice = choose(now());
        if (choice.isEmpty() || choice.get().crowded()) {
            return false;
        }
        waiting = false;
        send(now(), choice.get());
        return true;
    }

    /** Refuses the request, which has waited for room and is out of the line. */
    void giveUpWaiting() {
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
        return tools.chooser()
                .choose(
                        now,
                        request.pool(),
                        tools.board().backends().ready(request.pool().name()),
                        tried,
                        request.head().prompt(),
                        tools.board().peers());
    }

    /**
     * Sends the request to a backend server.
     *
     * @param now The present monotonic time in milliseconds.
     * @param choice The backend server.
     */
    private void send(long now, Choice choice) {
        Backend backend = choice.backend();
        if (costMillis < 0) {
            costMillis = (long) choice.costMillis();
        }
        tried.add(backend.incarnation());
        placement = load(backend).place(request.head().prompt());
        tools.placements().placed(now, backend.incarnation(), request.head().prompt());
        attempt = new BackendAttempt(tools.dialect(), request, backend, this);
        attemptMillis = now;
        sent = false;
        attempt.start(tools.client(), request.endMillis() - now, lastEventId);
    }

    /**
     * Starts the answer of a stream with its first events.
     *
     * @param status The status.
     * @param headers The headers of the backend server's answer.
     */
    private void begin(int status, MultiMap headers) {
        placement.started();
        countUsage();
        if (history.streaming()) {
            return;
        }
        history = history.withStart();
        noteFirst();
        MultiMap passed = MultiMap.caseInsensitiveMultiMap();
        tools.dialect().copyAnswer(headers, passed);
        reply.startStream(status, passed);
    }

    /** Notes the time to the first event or the whole answer. */
    private void noteFirst() {
        firstMillis = now() - request.receivedMillis();
        tools.metrics().first(request.route().name(), customer(), firstMillis);
    }

    /** Counts the request as one that began to run, once. */
    private void countUsage() {
        if (counted) {
            return;
        }
        counted = true;
        request.customer().ifPresent(name -> tools.usage().count(tools.time().wallMillis(), name));
    }

    /**
     * Passes on a whole answer.
     *
     * @param answer The answer.
     * @param outcome How the request ended.
     */
    private void passOn(WholeAnswer answer, String outcome) {
        MultiMap passed = MultiMap.caseInsensitiveMultiMap();
        tools.dialect().copyAnswer(answer.headers(), passed);
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
        if (attempt != null) {
            attempt.abandon();
            if (sent && !request.route().kind().streams()) {
                countUsage();
            }
        }
        if (history.streaming()) {
            cut("timed_out_midway");
            return;
        }
        reject(mayHaveRun ? RejectReason.TIMED_OUT : RejectReason.EXPIRED);
    }

    /** Ends the request since its caller has left. */
    private void callerGone() {
        if (over) {
            return;
        }
        if (attempt != null) {
            attempt.abandon();
            if (sent && !request.route().kind().streams()) {
                countUsage();
            }
        }
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
        tools.vertx().cancelTimer(timer);
        tools.board().active().decrementAndGet();
        if (waiting) {
            tools.lines().of(request.pool().name()).remove(this);
        }
        if (placement != null) {
            placement.end();
        }
        tools.metrics().ended(request.route().name(), customer(), outcome);
        tools.events()
                .emit(new ExchangeEvents.RequestEnded(
                        request.id(),
                        request.route().name(),
                        customer(),
                        request.urgency(),
                        outcome,
                        status,
                        attempt == null ? "-" : attempt.backend().id(),
                        history.sent() + (sent ? 1 : 0),
                        costMillis,
                        firstMillis,
                        now() - request.receivedMillis()));
    }

    /**
     * Returns the customer.
     *
     * @return The name of the customer, or a dash.
     */
    private String customer() {
        return request.customer().orElse(NO_CUSTOMER);
    }

    /**
     * Returns the load of a backend server.
     *
     * @param backend The backend server.
     * @return The load.
     */
    private BackendLoad load(Backend backend) {
        long memory =
                request.pool().engine().map(engine -> engine.memoryTokens()).orElse(0L);
        return tools.loads().of(backend.incarnation(), memory);
    }

    /**
     * Returns the present time.
     *
     * @return The monotonic time in milliseconds.
     */
    private long now() {
        return tools.time().monotonicMillis();
    }
}
