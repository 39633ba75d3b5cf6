package org.cranberrygauge.proxy.exchange;

import java.util.Optional;
import java.util.stream.Collectors;
import org.cranberrygauge.decision.backend.BackendNotice;
import org.cranberrygauge.decision.backend.BackendStatement;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.backend.BackendEvents;
import org.cranberrygauge.proxy.backend.ListReading;
import org.cranberrygauge.proxy.exchange.BackendAttempt.BufferedResponse;
import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.retry.NextStep;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;
import org.cranberrygauge.proxy.routing.PromptPart;

/**
 * Records the course of one request as events, metrics and usage counts.
 *
 * <p>Invariant: a request is counted at most once as started. Not thread-safe.
 */
final class ExchangeRecorder {

    /** The logged value for what is absent. */
    private static final String ABSENT = "-";

    private final ExchangeContext context;

    private final ProxyRequest request;

    /** The predicted cost of the first choice in milliseconds; -1 before it. */
    private long costMillis = -1;

    /** The time to the first event or the complete response in milliseconds; -1 before it. */
    private long firstMillis = -1;

    /** The monotonic time at which the request was last queued, in milliseconds. */
    private long queuedMillis;

    /** The reading of the list of servers by which the request was last sent. */
    private ListReading listReading = ListReading.NONE;

    /** The age of that list when the request was sent, in milliseconds; -1 before. */
    private long listAgeMillis = -1;

    /** Whether the request was counted as started. */
    private boolean counted;

    ExchangeRecorder(ExchangeContext context, ProxyRequest request) {
        this.context = context;
        this.request = request;
    }

    /** Records the predicted cost of the first choice. */
    void recordChoice(Choice choice) {
        if (costMillis < 0) {
            costMillis = (long) choice.costMillis();
        }
    }

    /** Records the arrival of the first event or the complete response. */
    void recordFirstEvent(long nowMillis) {
        firstMillis = nowMillis - request.receivedMillis();
        context.metrics().recordFirstEvent(request.route().name(), customer(), firstMillis);
    }

    /** Records the start of a wait in the queue. */
    void recordQueued(long nowMillis) {
        queuedMillis = nowMillis;
    }

    /**
     * Records that the request has left the queue.
     *
     * @param outcome Whether it was sent, or how its wait ended otherwise.
     */
    void recordWait(long nowMillis, String pool, String outcome) {
        long waitedMillis = nowMillis - queuedMillis;
        context.metrics().recordWait(request.route().name(), customer(), outcome, waitedMillis);
        context.events()
                .emit(new ExchangeEvents.RequestWaited(
                        request.id(),
                        pool,
                        customer(),
                        request.urgency(),
                        outcome,
                        waitedMillis,
                        Math.round(context.customerUse().of(nowMillis, request.fairnessCustomer()))));
    }

    /** Records by which list of servers the request is sent. */
    void recordSent(long nowMillis) {
        listReading = context.blackboard().backends().reading();
        listAgeMillis = listReading.ageMillis(nowMillis);
        context.metrics().recordSent(listReading.source().name(), listAgeMillis);
    }

    /** Counts the request in the customer's usage, once. */
    void recordStart() {
        if (counted) {
            return;
        }
        counted = true;
        request.customer()
                .ifPresent(name -> context.usage().count(context.usageTime().wallMillis(), name));
    }

    /**
     * Records a failed attempt at a backend server.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param afterMillis The duration of the attempt in milliseconds.
     */
    void recordFailedAttempt(
            long nowMillis,
            Backend backend,
            AttemptOutcome outcome,
            String detail,
            NextStep next,
            AttemptHistory history,
            long afterMillis) {
        context.metrics().recordFailedAttempt(backend.pool(), outcome.name());
        context.events()
                .emit(new ExchangeEvents.AttemptFailed(
                        request.id(),
                        backend.id(),
                        outcome.name(),
                        detail,
                        next.name(),
                        history.sent(),
                        request.deadlineMillis() - nowMillis,
                        afterMillis,
                        listAgeMillis,
                        listReading.source().name(),
                        sharedParts()));
    }

    /**
     * Records that a stream is resumed at a backend server, if it is.
     *
     * @param withinResponse Whether the caller has received the start of this response.
     */
    void recordResumption(Backend backend, Optional<String> lastEventId, boolean withinResponse) {
        if (!withinResponse && !request.resumesStream()) {
            return;
        }
        Optional<String> first = request.callerHeaders().firstRequestId();
        context.events()
                .emit(new ExchangeEvents.StreamResumed(
                        request.id(),
                        first.orElse(withinResponse ? request.id() : ABSENT),
                        lastEventId.orElse(ABSENT),
                        withinResponse ? "proxy" : "caller",
                        backend.id(),
                        backend.version()));
    }

    /** Records that a stream has ended of which only the end of the connection shows that it is complete. */
    void recordUnframedStream(Backend backend, int status, Optional<String> lastEventId) {
        recordUnframed(backend, status, lastEventId.orElse(ABSENT), -1);
    }

    /** Records a response that is no stream. */
    void recordResponse(Backend backend, BufferedResponse response) {
        recordStart();
        if (!response.framed()) {
            recordUnframed(backend, response.status(), ABSENT, response.body().length());
        }
    }

    private void recordUnframed(Backend backend, int status, String afterEvent, int bytes) {
        context.events()
                .emit(new ExchangeEvents.UnframedResponseEnded(request.id(), backend.id(), status, afterEvent, bytes));
    }

    /** Records what a backend server states of itself in a response, and logs what is new. */
    void recordStatement(long nowMillis, Backend backend, BackendStatement statement) {
        for (BackendNotice notice : context.statements().observe(nowMillis, backend.incarnation(), statement)) {
            context.events().emit(BackendEvents.of(nowMillis, backend.incarnation(), notice, request.id()));
        }
    }

    /**
     * Records the end of the request.
     *
     * @param status The status of the response; 0 if the connection was closed.
     * @param attempts The attempts with an established connection.
     */
    void recordEnd(long nowMillis, String outcome, int status, String backend, int attempts) {
        context.metrics().recordEnd(request.route().name(), customer(), outcome);
        context.events()
                .emit(new ExchangeEvents.RequestEnded(
                        request.id(),
                        request.route().name(),
                        customer(),
                        request.urgency(),
                        outcome,
                        status,
                        backend,
                        attempts,
                        costMillis,
                        firstMillis,
                        nowMillis - request.receivedMillis(),
                        listAgeMillis,
                        listReading.source().name()));
    }

    private String sharedParts() {
        String parts = request.callerHeaders().prompt().sharedParts().stream()
                .map(PromptPart::id)
                .collect(Collectors.joining(","));
        return parts.isEmpty() ? ABSENT : parts;
    }

    private String customer() {
        return request.customer().orElse(ABSENT);
    }
}
