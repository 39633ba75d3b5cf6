package org.cranberrygauge.gateway;

import org.cranberrygauge.runtime.event.Event;

/** The events of a gateway. */
public final class GatewayEvents {

    /** Prevents instances. */
    private GatewayEvents() {}

    /**
     * The gateway listens.
     *
     * @param gateway The incarnation.
     * @param callerPort The port for callers.
     * @param operationsPort The port for operations.
     * @param exchangePort The port for peers.
     */
    public record GatewayListening(String gateway, int callerPort, int operationsPort, int exchangePort)
            implements Event {}

    /**
     * The gateway could not start.
     *
     * @param reason The reason.
     */
    public record GatewayStartFailed(String reason) implements Event {}

    /**
     * A planned stop began.
     *
     * @param gateway The incarnation.
     * @param running The number of running requests.
     */
    public record DrainBegan(String gateway, int running) implements Event {}

    /**
     * A planned stop ended.
     *
     * @param gateway The incarnation.
     * @param running The number of requests that were cut.
     */
    public record DrainFinished(String gateway, int running) implements Event {}

    /**
     * A request was refused.
     *
     * @param requestId The identifier of the request.
     * @param customer The customer, or an empty string.
     * @param className The class, or an empty string.
     * @param reason The reason code.
     * @param notRun Whether nothing was run.
     * @param retryAfterMillis The time the caller was told to wait in milliseconds.
     */
    public record RequestRefused(
            String requestId, String customer, String className, String reason, boolean notRun, long retryAfterMillis)
            implements Event {}

    /**
     * A request started on a backend server.
     *
     * @param requestId The identifier of the request.
     * @param attempt The identifier of the attempt.
     * @param backendServer The backend server.
     * @param waitedMillis The time in the queue in milliseconds.
     */
    public record RequestStarted(String requestId, String attempt, String backendServer, long waitedMillis)
            implements Event {}

    /**
     * A request ended with a whole answer.
     *
     * @param requestId The identifier of the request.
     * @param customer The customer.
     * @param className The class.
     * @param outputTokens The number of output tokens.
     * @param totalMillis The time since its arrival in milliseconds.
     */
    public record RequestSucceeded(
            String requestId, String customer, String className, long outputTokens, long totalMillis)
            implements Event {}

    /**
     * An attempt failed.
     *
     * @param requestId The identifier of the request.
     * @param attempt The identifier of the attempt.
     * @param backendServer The backend server.
     * @param reason The reason.
     * @param next What follows.
     */
    public record AttemptFailed(String requestId, String attempt, String backendServer, String reason, String next)
            implements Event {}

    /**
     * A request was cancelled.
     *
     * @param requestId The identifier of the request.
     * @param reason The reason code.
     */
    public record RequestCancelled(String requestId, String reason) implements Event {}

    /**
     * The usage that a gone gateway had not written to the log is appended from its copy.
     *
     * @param gateway The incarnation of the gone gateway.
     * @param keys The number of keys.
     */
    public record UsageCopyAppended(String gateway, int keys) implements Event {}

    /**
     * A copy of usage could not be read.
     *
     * @param gateway The incarnation that sent it.
     * @param reason The reason.
     */
    public record UsageCopyRefused(String gateway, String reason) implements Event {}

    /**
     * A request was stopped for one of a higher tier and goes on later.
     *
     * @param requestId The identifier of the request.
     * @param attempt The identifier of the stopped attempt.
     * @param backendServer The backend server.
     * @param deliveredTokens The tokens that the caller has.
     */
    public record RequestPreempted(String requestId, String attempt, String backendServer, int deliveredTokens)
            implements Event {}

    /**
     * A backend server was ejected or readmitted because of its speed.
     *
     * @param backendServer The backend server.
     * @param verdict What was decided.
     * @param slowness The time between its tokens relative to its peers.
     */
    public record BackendSpeedJudged(String backendServer, String verdict, double slowness) implements Event {}
}
