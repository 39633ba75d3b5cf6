package org.cranberrygauge.model.service;

/**
 * A route to a plain service, by path prefix.
 *
 * @param pathPrefix The prefix below /services, such as /ledger/bookings.
 * @param method The HTTP method.
 * @param service The name of the service.
 * @param className The name of the class that its calls belong to.
 * @param repetition Whether calls may be repeated.
 * @param open Whether the route is open to callers without a key.
 * @param keyRequired Whether an idempotency key is demanded.
 * @param statusPath The path of the status lookup at the service, or an empty string.
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
