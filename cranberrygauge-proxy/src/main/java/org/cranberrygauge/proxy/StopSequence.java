package org.cranberrygauge.proxy;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.List;
import org.cranberrygauge.decision.stop.PlannedStop;
import org.cranberrygauge.proxy.exchange.IngressServer;
import org.cranberrygauge.proxy.exchange.OpenRequests;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.exchange.RequestMemory;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Ends the service for callers in order: waits for the requests in progress, answers those that are left, and closes the
 * connections. Blocks the thread that runs it, which is none of the event loops.
 */
final class StopSequence {

    /** The time within which the last answers are written and the connections are closed, in milliseconds. */
    private static final long CLOSE_MILLIS = 250;

    private final ProxyBlackboard blackboard;

    private final OpenRequests open;

    private final RequestMemory memory;

    /** The event loop of requests. */
    private final Context requestContext;

    private final TimeSource time;

    private final EventLog events;

    StopSequence(
            ProxyBlackboard blackboard,
            OpenRequests open,
            RequestMemory memory,
            Context requestContext,
            TimeSource time,
            EventLog events) {
        this.blackboard = blackboard;
        this.open = open;
        this.memory = memory;
        this.requestContext = requestContext;
        this.time = time;
        this.events = events;
    }

    /**
     * Runs the sequence.
     *
     * @param wait Decides when the requests in progress have ended, or the grace period has.
     * @param beforeClose Called once no further request begins, before connections are closed.
     * @param servers The servers for callers and for other hosts.
     * @return The number of requests that were cut off.
     */
    int run(DrainWait wait, Runnable beforeClose, List<IngressServer> servers) {
        long startMillis = time.monotonicMillis();
        blackboard.publish(wait.plan());
        events.emit(new ProxyEvents.ProxyDraining(open.count()));
        while (!wait.isOver(time.monotonicMillis(), unfinished() + open.takeArrivals())) {
            requestContext.runOnContext(run -> open.rejectWaiting());
            wait.pause();
        }
        blackboard.publish(PlannedStop.OVER);
        int cut = unfinished();
        requestContext.runOnContext(run -> open.endAll());
        beforeClose.run();
        close(wait, servers);
        events.emit(new ProxyEvents.ProxyStopped(cut, time.monotonicMillis() - startMillis));
        return cut;
    }

    /** Returns the number of requests without a complete response, and of responses that are not wholly written. */
    private int unfinished() {
        return open.count() + memory.unwrittenResponses();
    }

    /** Closes the connections once the last answers are written, or after a time. */
    private void close(DrainWait wait, List<IngressServer> servers) {
        long untilMillis = time.monotonicMillis() + CLOSE_MILLIS;
        do {
            wait.pause();
        } while (unfinished() > 0 && time.monotonicMillis() < untilMillis);
        Future<?> closed =
                Future.join(servers.stream().map(IngressServer::close).toList());
        while (!closed.isComplete() && time.monotonicMillis() < untilMillis) {
            wait.pause();
        }
    }
}
