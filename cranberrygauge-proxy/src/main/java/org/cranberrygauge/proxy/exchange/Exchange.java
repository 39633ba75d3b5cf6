package org.cranberrygauge.proxy.exchange;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cranberrygauge.decision.hostload.LateSend;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.exchange.BackendAttempt.BufferedResponse;
import org.cranberrygauge.proxy.exchange.HeaderCodec.BackendResponseHeaders;
import org.cranberrygauge.proxy.exchange.OpenRequests.OpenRequest;
import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.retry.NextStep;
import org.cranberrygauge.proxy.retry.RetryPolicy;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.stream.EventSequence;

/**
 * The lifecycle of one request, from admission to the final response.
 *
 * <p>Invariants: at most one attempt is in progress; exactly one final response is given, at the deadline at the
 * latest; the attempt in progress is cancelled when the caller disconnects. Not thread-safe.
 */
final class Exchange implements BackendAttempt.Listener, OpenRequest {

    private final ExchangeContext context;

    private final ProxyRequest request;

    private final CallerResponse response;

    private final ExchangeRecorder recorder;

    /** The selection of backend servers, which the queue asks, too. */
    final BackendSelection selection;

    private final QueuePlace queue;

    private final StopGate stopGate;

    private final CrashEvidence evidence;

    private final RetryGate retryGate;

    private final FinalResponse finalResponse;

    private final ExchangeTimers timers;

    private AttemptHistory history = AttemptHistory.NONE;

    /** The outcome of the last failed attempt; null before. */
    private AttemptOutcome lastOutcome;

    private BackendAttempt attempt;

    /** What the attempt in progress shows of its server; null before the first one. */
    private AttemptRecord record;

    /** The events that the caller has. */
    private final EventSequence sequence;

    private final StreamEnd streamEnd = new StreamEnd();

    /** The last server error of a backend server. */
    private Optional<BufferedResponse> serverError = Optional.empty();

    /** Whether the attempt in progress has a connection, so that the request may run. */
    private boolean sent;

    /** Whether the final response was given. */
    private boolean ended;

    Exchange(ExchangeContext context, ProxyRequest request, CallerResponse response) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.selection = new BackendSelection(context, request);
        this.evidence = new CrashEvidence(context, request);
        this.sequence = new EventSequence(request.callerHeaders().lastEventId());
        this.retryGate = new RetryGate(context, request, selection, evidence, sequence);
        this.finalResponse = new FinalResponse(context, request, response, selection, this::finish);
        this.timers = new ExchangeTimers(context.vertx());
        this.recorder = new ExchangeRecorder(context, request);
        this.queue = new QueuePlace(context, selection, recorder);
        this.stopGate = new StopGate(context, request);
    }

    /** Takes the request over, which ends at its deadline or when its caller disconnects, also before it has started. */
    void open() {
        long now = now();
        context.open().add(this);
        response.onDisconnect(this::callerDisconnected);
        if (request.deadlineMillis() <= now) {
            finalResponse.reject(RejectReason.EXPIRED);
            return;
        }
        timers.startDeadline(request.deadlineMillis() - now, this::expire);
    }

    /** Starts the first attempt, or rejects or queues the request, unless it has ended. */
    void start() {
        if (ended
                || LateSend.decide(now(), request.receivedMillis(), response::isAwaited, () -> true)
                        == LateSend.CALLER_LEFT) {
            return;
        }
        if (request.resumesStream()) {
            new StreamResumption(context, request, selection).resolve(this::resume);
            return;
        }
        attemptFirst(RejectReason.NO_BACKEND);
    }

    /** @param rejection The reason why the stream that the caller resumes can't go on, if any. */
    private void resume(Optional<RejectReason> rejection) {
        if (ended) {
            return;
        }
        if (rejection.isPresent()) {
            finalResponse.reject(rejection.get());
        } else {
            attemptFirst(RejectReason.NO_BACKEND_OF_VERSION);
        }
    }

    /** @param otherwise The reason for the rejection if there is no backend server. */
    private void attemptFirst(RejectReason otherwise) {
        retryGate.recordRequest(now());
        if (!attemptNext()) {
            finalResponse.rejectUnavailable(now(), otherwise);
        }
    }

    @Override
    public LateSend beforeSend(Backend backend, long startedMillis) {
        BooleanSupplier allowed = () -> selection.takesRequests(backend) && stopGate.mayBegin(now(), history);
        return LateSend.decide(now(), startedMillis, response::isAwaited, allowed);
    }

    @Override
    public void onSent() {
        sent = true;
        response.recordSent();
        recorder.recordSent(now());
        timers.startSilence(() -> context.reachability().checkSilence(now()));
    }

    @Override
    public void onHeaders(BackendResponseHeaders headers) {
        long now = now();
        timers.cancelSilence();
        context.reachability().recordHeard(now);
        recorder.recordStatement(now, attempt.backend(), headers.statement());
    }

    @Override
    public void onEvents(HttpClientResponse backendResponse, boolean framed, Buffer events) {
        if (ended) {
            return;
        }
        beginStream(backendResponse, framed);
        streamEnd.recordEvents(sequence.acceptedEvents());
        record.recordEvents(now());
        response.write(events);
        if (response.isFull()) {
            record.recordPause();
            attempt.pauseUntilDrained(response);
        }
    }

    @Override
    public void onStreamEnd(HttpClientResponse backendResponse, boolean framed) {
        beginStream(backendResponse, framed);
        record.recordStreamEnd(now(), framed);
        if (framed) {
            finalResponse.endStream("served");
            return;
        }
        recorder.recordUnframedStream(attempt.backend(), backendResponse.statusCode(), sequence.lastId());
        selection.dispatchQueued();
        streamEnd.recordUnframedEnd(sequence.acceptedEvents());
        timers.startEndConfirmation(this::endUnconfirmed);
        endAttempt(AttemptOutcome.END_UNKNOWN);
        continueAfter(lastOutcome, "only the connection ended the stream");
    }

    /** Ends a stream whose end no other server has confirmed in time. */
    private void endUnconfirmed() {
        if (!ended && streamEnd.isStated()) {
            abandonAttempt();
            proceed(NextStep.CUT, AttemptOutcome.END_UNKNOWN);
        }
    }

    @Override
    public void onResponse(BufferedResponse buffered) {
        recorder.recordResponse(attempt.backend(), buffered);
        if (buffered.isServerError()) {
            serverError = Optional.of(buffered);
            onFailure(AttemptOutcome.SERVER_ERROR, "status " + buffered.status());
            return;
        }
        record.recordResponse(now(), buffered);
        if (history.streaming()) {
            finalResponse.cutStream("resumed_with_status", streamEnd);
            return;
        }
        recorder.recordFirstEvent(now());
        finalResponse.forward(buffered, "served");
    }

    @Override
    public void onFailure(AttemptOutcome reported, String detail) {
        AttemptOutcome outcome =
                reported == AttemptOutcome.BROKEN && history.streaming() ? AttemptOutcome.STREAM_BROKEN : reported;
        record.recordFailure(now(), outcome);
        selection.dispatchQueued();
        if (outcome == AttemptOutcome.BROKEN && !request.route().kind().streams()) {
            recorder.recordStart();
        }
        endAttempt(outcome);
        if (outcome == AttemptOutcome.NOT_CONNECTED || outcome == AttemptOutcome.BROKEN) {
            context.reachability().check(isolated -> continueAfter(outcome, detail));
        } else {
            continueAfter(outcome, detail);
        }
    }

    private void endAttempt(AttemptOutcome outcome) {
        history = history.withOutcome(outcome);
        lastOutcome = outcome;
        sent = false;
        timers.cancelSilence();
    }

    /** Decides what follows an attempt that gave no complete response, once it is known whether this host is isolated. */
    private void continueAfter(AttemptOutcome outcome, String detail) {
        if (ended) {
            return;
        }
        long now = now();
        NextStep next = retryGate.next(now, history, outcome);
        recorder.recordFailedAttempt(now, attempt.backend(), outcome, detail, next, history, record.elapsedMillis(now));
        proceed(next, outcome);
    }

    /** Performs the next step after an attempt that gave no complete response. */
    private void proceed(NextStep next, AttemptOutcome outcome) {
        if (next != NextStep.TRY_ANOTHER) {
            finalResponse.conclude(now(), next, outcome, serverError, streamEnd);
        } else if (!attemptNext()) {
            proceed(RetryPolicy.withoutRetry(history, outcome), outcome);
        }
    }

    /**
     * Sends the request to the next backend server, queues it if that server is saturated or those that are left become
     * available in time, or ends it if this host must not send it.
     *
     * @return Whether there is another backend server.
     */
    private boolean attemptNext() {
        if (endsUnsent()) {
            return true;
        }
        long now = now();
        Optional<Choice> choice = selection.chooseOpen(now);
        if (choice.isEmpty()) {
            Optional<Choice> soon = selection.chooseSoon(now, request.expiresAtMillis());
            return soon.map(later -> queue.enter(this, later)).isPresent();
        }
        boolean waits = selection.mustWait(now, choice.get()) || selection.isAwaited(choice.get());
        if (history.sent() == 0 && waits) {
            queue.enter(this, choice.get());
        } else {
            send(now, choice.get());
        }
        return true;
    }

    /** Ends a request that this host must not send: it crashes servers, this host stops, or another host has to send it. */
    private boolean endsUnsent() {
        if (evidence.isBlocked()) {
            queue.remove(this, "blocked");
            endWithout(() -> finalResponse.reject(RejectReason.CRASHES_BACKENDS));
        } else if (!stopGate.mayBegin(now(), history)) {
            queue.remove(this, "draining");
            endWithout(() -> finalResponse.reject(RejectReason.DRAINING));
        } else if (retryGate.mayForward(history)) {
            queue.remove(this, "forwarded");
            end("forwarded", 0);
            new ForwardedRequest(context, request, selection.pool(), response, history).start();
        } else {
            return false;
        }
        return true;
    }

    /**
     * Sends a queued request if a server is available by now and has capacity.
     *
     * @param reserved Whether the server may have less capacity than the request needs.
     */
    DispatchResult tryDispatch(boolean reserved) {
        if (endsUnsent()) {
            return DispatchResult.ENDED;
        }
        long now = now();
        Optional<Choice> choice = selection.chooseOpen(now);
        if (choice.isEmpty()) {
            return DispatchResult.NOT_AVAILABLE;
        }
        boolean waits =
                selection.mustWait(now, choice.get()) && !(reserved && selection.hasCapacity(now, choice.get()));
        if (history.sent() == 0 && waits) {
            selection.recordAwaited(choice.get());
            return DispatchResult.NO_CAPACITY;
        }
        queue.leave(reserved ? "sent_reserved" : "sent");
        send(now, choice.get());
        return DispatchResult.SENT;
    }

    long cost() {
        return request.cost();
    }

    /** Ends the request after it was removed from the queue as expired. */
    void expireInQueue() {
        queue.leave("expired");
        endWithout(() -> finalResponse.rejectExpired(now()));
    }

    /**
     * Ends the request without another attempt.
     *
     * @param rejection Rejects the request, unless an attempt has failed before.
     */
    private void endWithout(Runnable rejection) {
        if (lastOutcome != null) {
            proceed(RetryPolicy.withoutRetry(history, lastOutcome), lastOutcome);
        } else {
            rejection.run();
        }
    }

    private void send(long now, Choice choice) {
        Backend backend = choice.backend();
        recorder.recordChoice(choice);
        recorder.recordResumption(backend, sequence.lastId(), history.streaming());
        selection.use(now, backend);
        record = new AttemptRecord(context, request, selection.pool(), backend, evidence, now);
        attempt = new BackendAttempt(context.client(), context.codec(), request, sequence, backend, this);
        attempt.start(now);
    }

    /** Records the first events, and writes the headers of the response unless that is done. */
    private void beginStream(HttpClientResponse backendResponse, boolean framed) {
        record.recordPrefilled();
        recorder.recordStart();
        if (history.streaming()) {
            return;
        }
        history = history.withStart();
        selection.begin(attempt.backend());
        record.recordFirstEvent(now());
        recorder.recordFirstEvent(now());
        finalResponse.startStream(backendResponse, framed);
    }

    @Override
    public void rejectUnlessBegins() {
        if (queue.isWaiting() && !stopGate.mayBegin(now(), history)) {
            endsUnsent();
        }
    }

    @Override
    public void endWithHost() {
        endUnfinished("host_stopped", RejectReason.HOST_STOPPED, RejectReason.DRAINING);
    }

    /** Ends the request at its deadline. */
    private void expire() {
        endUnfinished("timed_out_midway", RejectReason.TIMED_OUT, RejectReason.EXPIRED);
    }

    private void endUnfinished(String streamOutcome, RejectReason unknown, RejectReason notRun) {
        if (ended) {
            return;
        }
        boolean mayHaveRun = history.mayHaveRun() || sent;
        abandonAttempt();
        if (history.streaming()) {
            finalResponse.cutStream(streamOutcome, streamEnd);
            return;
        }
        finalResponse.reject(mayHaveRun ? unknown : notRun);
    }

    /** Cancels the attempt in progress; if it was sent, its request may have run. */
    private void abandonAttempt() {
        if (attempt == null) {
            return;
        }
        attempt.abandon();
        if (sent && !request.route().kind().streams()) {
            recorder.recordStart();
        }
    }

    private void callerDisconnected() {
        if (ended) {
            return;
        }
        abandonAttempt();
        finish("caller_left", 0);
    }

    /**
     * Releases the resources of the request and records its end.
     *
     * @param status The status of the response; 0 if the connection was closed.
     */
    private void finish(String outcome, int status) {
        request.memory().close();
        end(outcome, status);
    }

    /** Ends this exchange, but keeps the memory of the request. */
    private void end(String outcome, int status) {
        ended = true;
        timers.cancelAll();
        context.open().remove(this);
        queue.remove(this, "ended");
        if (record != null) {
            record.end();
            selection.dispatchQueued();
        }
        String backend = attempt == null ? "-" : attempt.backend().id();
        recorder.recordEnd(now(), outcome, status, backend, history.sent() + (sent ? 1 : 0));
    }

    private long now() {
        return context.time().monotonicMillis();
    }
}
