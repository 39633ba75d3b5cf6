package org.cranberrygauge.proxy.exchange;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The requests of callers that are being read or answered, which a planned stop has to end in order. Used on the event loop of
 * requests, except for the methods that state otherwise.
 */
public final class OpenRequests {

    private final Set<OpenRequest> requests = new LinkedHashSet<>();

    private final AtomicInteger count = new AtomicInteger();

    /** The requests that arrived since this was last asked for, also those that were rejected at once. */
    private final AtomicInteger arrivals = new AtomicInteger();

    /** Returns the number of requests; may be called on any thread. */
    public int count() {
        return count.get();
    }

    /** Returns the number of requests that arrived since the last call; may be called on any thread. */
    public int takeArrivals() {
        return arrivals.getAndSet(0);
    }

    void recordArrival() {
        arrivals.incrementAndGet();
    }

    void add(OpenRequest request) {
        requests.add(request);
        count.set(requests.size());
    }

    void remove(OpenRequest request) {
        requests.remove(request);
        count.set(requests.size());
    }

    /** Rejects the requests that wait and that the stopping host no longer begins. */
    public void rejectWaiting() {
        List.copyOf(requests).forEach(OpenRequest::rejectUnlessBegins);
    }

    /** Ends all requests with an answer that tells what is known of them. */
    public void endAll() {
        List.copyOf(requests).forEach(OpenRequest::endWithHost);
    }

    /** A request that is being read or answered. */
    interface OpenRequest {

        /** Rejects the request if it waits and the stopping host no longer begins it. */
        void rejectUnlessBegins();

        /** Ends the request because the host stops. */
        void endWithHost();
    }
}
