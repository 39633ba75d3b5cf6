package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.proxy.routing.BackendChooser.Choice;

/** The place of one request in the queue of its pool. Not thread-safe. */
final class QueuePlace {

    private final ExchangeContext context;

    private final BackendSelection selection;

    private final ExchangeRecorder recorder;

    /** Whether the request is queued until a backend server is available and has capacity. */
    private boolean waiting;

    QueuePlace(ExchangeContext context, BackendSelection selection, ExchangeRecorder recorder) {
        this.context = context;
        this.selection = selection;
        this.recorder = recorder;
    }

    boolean isWaiting() {
        return waiting;
    }

    /** Queues the request until it can be sent, and returns its first choice. */
    Choice enter(Exchange exchange, Choice choice) {
        waiting = true;
        recorder.recordQueued(now());
        context.queues().add(selection.pool().name(), selection.entry(exchange, choice));
        return choice;
    }

    /** Records how long the request was queued; the caller removes it from the queue. */
    void leave(String outcome) {
        waiting = false;
        recorder.recordWait(now(), selection.pool().name(), outcome);
    }

    /** Takes the request out of the queue, if it is there. */
    void remove(Exchange exchange, String outcome) {
        if (waiting) {
            leave(outcome);
            context.queues().of(selection.pool().name()).remove(exchange);
        }
    }

    private long now() {
        return context.time().monotonicMillis();
    }
}
