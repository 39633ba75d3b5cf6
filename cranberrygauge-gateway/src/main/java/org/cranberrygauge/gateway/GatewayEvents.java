package org.cranberrygauge.gateway;

import org.cranberrygauge.runtime.event.Event;

/** The events emitted by a gateway. */
public final class GatewayEvents {

    private GatewayEvents() {}

    /**
     * The gateway has started and accepts connections on all its ports.
     *
     * @param gateway The incarnation of the gateway.
     * @param callerPort The port on which callers are served.
     * @param operationsPort The port of the health, metrics and state endpoints.
     * @param exchangePort The port for peers.
     */
    public record GatewayListening(String gateway, int callerPort, int operationsPort, int exchangePort)
            implements Event {}

    /**
     * The gateway failed to start and its process exits.
     *
     * @param reason The error message.
     */
    public record GatewayStartFailed(String reason) implements Event {}

    /**
     * A planned stop has begun.
     *
     * @param gateway The incarnation of the gateway.
     * @param running The number of running requests.
     */
    public record DrainBegan(String gateway, int running) implements Event {}

    /**
     * A planned stop has finished.
     *
     * @param gateway The incarnation of the gateway.
     * @param running The number of requests that were still running and were aborted.
     */
    public record DrainFinished(String gateway, int running) implements Event {}

    /**
     * A request was refused.
     *
     * @param requestId The identifier of the request.
     * @param customer The name of the customer, or an empty string if not known.
     * @param className The name of the service class, or an empty string if not known.
     * @param reason The reason code.
     * @param notRun Whether the request is guaranteed not to have run.
     * @param retryAfterMillis The retry delay sent to the caller in milliseconds; 0 for none.
     */
    public record RequestRefused(
            String requestId, String customer, String className, String reason, boolean notRun, long retryAfterMillis)
            implements Event {}

    /**
     * An attempt was started on a backend server.
     *
     * @param requestId The identifier of the request.
     * @param attempt The identifier of the attempt.
     * @param backendServer The name of the backend server.
     * @param waitedMillis The time since the request arrived in milliseconds.
     */
    public record RequestStarted(String requestId, String attempt, String backendServer, long waitedMillis)
            implements Event {}

    /**
     * A request ended with a complete response.
     *
     * @param requestId The identifier of the request.
     * @param customer The name of the customer.
     * @param className The name of the service class.
     * @param outputTokens The number of output tokens; 0 for a call to a plain service.
     * @param totalMillis The time since the request arrived in milliseconds.
     */
    public record RequestSucceeded(
            String requestId, String customer, String className, long outputTokens, long totalMillis)
            implements Event {}

    /**
     * An attempt on a backend server failed.
     *
     * @param requestId The identifier of the request.
     * @param attempt The identifier of the attempt.
     * @param backendServer The name of the backend server.
     * @param reason What failed, for humans.
     * @param next The code of the next step: retry, resume, give_up or quarantine.
     */
    public record AttemptFailed(String requestId, String attempt, String backendServer, String reason, String next)
            implements Event {}

    /**
     * The connection to a backend server was lost during an attempt.
     *
     * @param requestId The identifier of the request.
     * @param attempt The identifier of the attempt.
     * @param backendServer The name of the backend server.
     * @param crashed Whether the backend server crashed, which makes the request a suspect.
     */
    public record BackendServerLost(String requestId, String attempt, String backendServer, boolean crashed)
            implements Event {}

    /**
     * A request was cancelled.
     *
     * @param requestId The identifier of the request.
     * @param reason The reason code.
     */
    public record RequestCancelled(String requestId, String reason) implements Event {}

    /**
     * Usage that a gone gateway had not appended to the log is appended from the copy held for it.
     *
     * @param gateway The incarnation of the gone gateway.
     * @param keys The number of usage keys in the copy.
     */
    public record UsageCopyAppended(String gateway, int keys) implements Event {}

    /**
     * A usage copy received from a peer could not be parsed.
     *
     * @param gateway The incarnation of the peer.
     * @param reason The error message.
     */
    public record UsageCopyRefused(String gateway, String reason) implements Event {}

    /**
     * A running attempt was stopped in favour of a higher tier; the request is resumed later.
     *
     * @param requestId The identifier of the request.
     * @param attempt The identifier of the stopped attempt.
     * @param backendServer The name of the backend server.
     * @param deliveredTokens The number of tokens already delivered to the caller.
     */
    public record RequestPreempted(String requestId, String attempt, String backendServer, int deliveredTokens)
            implements Event {}

    /**
     * A backend server was ejected because of its speed, or readmitted.
     *
     * @param backendServer The name of the backend server.
     * @param verdict Either ejected or readmitted.
     * @param slowness The ratio of its token interval to the median of its peers.
     */
    public record BackendSpeedJudged(String backendServer, String verdict, double slowness) implements Event {}
}
