package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Vertx;
import java.util.Optional;
import org.cranberrygauge.decision.hostload.StartOrder;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Starts the requests that were read in one turn of the event loop, some in each turn, so that the responses of servers and
 * the disconnects of callers are handled in between while the host is out of processor time. Not thread-safe.
 */
public final class RequestStarter {

    /** The time after which the starts are interrupted for a turn of the event loop. */
    private static final long TURN_MILLIS = 15;

    /** The minimum delay of a timer, after which the event loop has looked for input. */
    private static final long NEXT_TURN_MILLIS = 1;

    private final Vertx vertx;

    private final TimeSource time;

    private final StartOrder<Exchange> order = new StartOrder<>();

    private boolean scheduled;

    public RequestStarter(Vertx vertx, TimeSource time) {
        this.vertx = vertx;
        this.time = time;
    }

    /** Takes a request over, and starts it after the others that were read in the same turn and come before it. */
    void submit(ProxyRequest request, Exchange exchange) {
        exchange.open();
        order.add(exchange, request.urgency(), request.receivedMillis(), request.onTimeMillis());
        if (!scheduled) {
            scheduled = true;
            vertx.runOnContext(run -> startSome());
        }
    }

    /** Starts requests for the time of a turn. Those that are left start later, also if a start fails. */
    private void startSome() {
        scheduled = false;
        try {
            long startMillis = time.monotonicMillis();
            Optional<Exchange> next = order.next(startMillis);
            while (next.isPresent()) {
                next.get().start();
                long now = time.monotonicMillis();
                next = now - startMillis < TURN_MILLIS ? order.next(now) : Optional.empty();
            }
        } finally {
            if (order.size() > 0 && !scheduled) {
                scheduled = true;
                vertx.setTimer(NEXT_TURN_MILLIS, fired -> startSome());
            }
        }
    }
}
