package org.cranberrygauge.gateway.call;

import org.cranberrygauge.gateway.GatewayEvents;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * Emits the events of one request and updates the metrics that count them.
 *
 * <p>Immutable and safe for use by several threads.
 */
record CallTelemetry(CallDependencies dependencies, Caller caller, String requestId) {

    void started(String attempt, BackendServer server, long waitedMillis) {
        dependencies.events().emit(new GatewayEvents.RequestStarted(requestId, attempt, server.name(), waitedMillis));
    }

    void attemptFailed(String attempt, BackendServer server, AttemptFailure failure, String next) {
        dependencies.metrics().failedAttempt(caller.serviceClass().name(), next);
        dependencies
                .events()
                .emit(new GatewayEvents.AttemptFailed(requestId, attempt, server.name(), failure.reason(), next));
    }

    /**
     * Emits that the connection to a backend server was lost during an attempt.
     *
     * @param crashed Whether the backend server crashed, which makes the request a suspect.
     */
    void connectionLost(String attempt, BackendServer server, boolean crashed) {
        dependencies.events().emit(new GatewayEvents.BackendServerLost(requestId, attempt, server.name(), crashed));
    }

    void succeeded(long outputTokens, long totalMillis) {
        String customer = caller.customer().name();
        String className = caller.serviceClass().name();
        dependencies.metrics().total(customer, className, totalMillis);
        dependencies
                .events()
                .emit(new GatewayEvents.RequestSucceeded(requestId, customer, className, outputTokens, totalMillis));
    }

    void refused(RequestFailure failure) {
        String className = caller.serviceClass().name();
        dependencies.metrics().refused(className, failure.code().text());
        dependencies
                .events()
                .emit(new GatewayEvents.RequestRefused(
                        requestId,
                        caller.customer().name(),
                        className,
                        failure.code().text(),
                        failure.notRun(),
                        failure.retryAfterMillis()));
    }
}
