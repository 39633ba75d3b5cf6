package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.runtime.event.Event;

/** The events of requests. */
public final class ExchangeEvents {

    /** Prevents instances. */
    private ExchangeEvents() {}

    /**
     * A request got an answer before it was sent to any backend server.
     *
     * @param request The identifier of the request.
     * @param reason The reason.
     * @param status The status of the answer.
     * @param configuration The version of the configuration; -1 if none is known.
     * @param configurationAgeMillis The age of its last confirmation in milliseconds.
     */
    public record RequestRejected(
            String request, String reason, int status, long configuration, long configurationAgeMillis)
            implements Event {}

    /**
     * An attempt at a backend server failed.
     *
     * @param request The identifier of the request.
     * @param backend The backend server.
     * @param outcome How the attempt ended.
     * @param detail What happened.
     * @param next What follows.
     * @param attempts The attempts that were sent so far.
     * @param remainingMillis The time left in milliseconds.
     * @param afterMillis The time since the attempt started in milliseconds.
     */
    public record AttemptFailed(
            String request,
            String backend,
            String outcome,
            String detail,
            String next,
            int attempts,
            long remainingMillis,
            long afterMillis)
            implements Event {}

    /**
     * A request that was sent to a backend server has ended.
     *
     * @param request The identifier of the request.
     * @param route The route.
     * @param customer The customer.
     * @param urgency The urgency.
     * @param outcome How it ended.
     * @param status The status of the answer; 0 if the connection was closed.
     * @param backend The last backend server.
     * @param attempts The attempts that were sent.
     * @param costMillis The predicted cost of the first choice in milliseconds.
     * @param firstMillis The time to the first event or the whole answer in milliseconds; -1 if there was none.
     * @param totalMillis The time to the end in milliseconds.
     */
    public record RequestEnded(
            String request,
            String route,
            String customer,
            int urgency,
            String outcome,
            int status,
            String backend,
            int attempts,
            long costMillis,
            long firstMillis,
            long totalMillis)
            implements Event {}
}
