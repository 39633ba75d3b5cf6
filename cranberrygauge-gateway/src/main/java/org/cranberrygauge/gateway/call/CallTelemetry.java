package org.cranberrygauge.gateway.call;

import org.cranberrygauge.gateway.GatewayEvents;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * Writes the events of one request and counts them in the metrics.
 *
 * <p>Immutable; safe for use by several threads.
 *
 * @param tools What every request works with.
 * @param caller Whose request it is.
 * @param requestId The identifier of the request.
 */
record CallTelemetry(CallDependencies tools, Caller caller, String requestId) {

    /**
     * Notes the start of an attempt.
     *
     * @param attempt The identifier of the attempt.
     * @param server The backend server.
     * @param waitedMillis The time since the arrival in milliseconds.
     */
    void started(String attempt, BackendServer server, long waitedMillis) {
        tools.events().emit(new GatewayEvents.RequestStarted(requestId, attempt, server.name(), waitedMillis));
    }

    /**
     * Notes a failed attempt.
     *
     * @param attempt The identifier of the attempt.
     * @param server The backend server.
     * @param failure How it failed.
     * @param next What follows.
     */
    void attemptFailed(String attempt, BackendServer server, AttemptFailure failure, String next) {
        tools.metrics().failedAttempt(caller.serviceClass().name(), next);
        tools.events().emit(new GatewayEvents.AttemptFailed(requestId, attempt, server.name(), failure.reason(), next));
    }

    /**
     * Notes that the connection to a backend server was lost during an attempt.
     *
     * @param attempt The identifier of the attempt.
     * @param server The backend server.
     * @param crashed Whether the backend server crashed, which makes the request a suspect.
     */
    void lost(String attempt, BackendServer server, boolean crashed) {
        tools.events().emit(new GatewayEvents.BackendServerLost(requestId, attempt, server.name(), crashed));
    }

    /**
     * Notes a whole answer.
     *
     * @param outputTokens The number of output tokens.
     * @param totalMillis The time since the arrival in milliseconds.
     */
    void succeeded(long outputTokens, long totalMillis) {
        String customer = caller.customer().name();
        String className = caller.serviceClass().name();
        tools.metrics().total(customer, className, totalMillis);
        tools.events()
                .emit(new GatewayEvents.RequestSucceeded(requestId, customer, className, outputTokens, totalMillis));
    }

    /**
     * Notes a refusal.
     *
     * @param failure The refusal.
     */
    void refused(RequestFailure failure) {
        String className = caller.serviceClass().name();
        tools.metrics().refused(className, failure.code().text());
        tools.events()
                .emit(new GatewayEvents.RequestRefused(
                        requestId,
                        caller.customer().name(),
                        className,
                        failure.code().text(),
                        failure.notRun(),
                        failure.retryAfterMillis()));
    }
}
