package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.proxy.retry.AttemptHistory;

/**
 * Tells whether this host, which may stop, still begins an attempt for a request. It does if the response is expected before the
 * host ends, and always continues a stream of which the caller has received the start. Not thread-safe.
 */
final class StopGate {

    private final ExchangeContext context;

    private final ProxyRequest request;

    StopGate(ExchangeContext context, ProxyRequest request) {
        this.context = context;
        this.request = request;
    }

    /** @param nowMillis The current monotonic time in milliseconds. */
    boolean mayBegin(long nowMillis, AttemptHistory history) {
        return context.blackboard().stop().mayBegin(nowMillis, endsByMillis(nowMillis, history));
    }

    private long endsByMillis(long nowMillis, AttemptHistory history) {
        if (history.streaming()) {
            return nowMillis;
        }
        double responseMillis = context.capacity().responseMillis(request.pool().name());
        return request.answeredByMillis(nowMillis, responseMillis);
    }
}
