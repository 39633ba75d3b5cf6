package org.cranberrygauge.model.service;

/**
 * A route to a plain service by path prefix.
 *
 * @param pathPrefix The prefix below /services, such as /ledger/bookings.
 * @param method The HTTP method.
 * @param className The name of the service class of its calls.
 * @param repetition Whether calls may be retried after they may have been executed.
 * @param open Whether the route may be called without a customer key.
 * @param keyRequired Whether calls must carry an idempotency key.
 * @param statusPath The path of the service's status lookup, or an empty string.
 */
public record ServiceRoute(
        String pathPrefix,
        String method,
        String service,
        String className,
        Repetition repetition,
        boolean open,
        boolean keyRequired,
        String statusPath) {}
