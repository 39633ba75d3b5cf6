package org.cranberrygauge.controller;

import org.cranberrygauge.runtime.event.Event;

/** Events that a controller writes to the event log. */
public final class ControllerEvents {

    private ControllerEvents() {}

    /**
     * The controller has started and listens.
     *
     * @param controller The incarnation of the controller.
     * @param operationsPort The port of the operations server.
     */
    public record ControllerListening(String controller, int operationsPort) implements Event {}

    /**
     * The controller could not start.
     *
     * @param reason The message of the error.
     */
    public record ControllerStartFailed(String reason) implements Event {}

    /**
     * This controller gained or lost the lease.
     *
     * @param controller The incarnation of the controller.
     * @param held Whether this controller now holds the lease.
     * @param holder The incarnation of the lease holder according to the log.
     * @param fencingNumber The fencing number of the lease as last read from the log.
     */
    public record LeaseChanged(String controller, boolean held, String holder, long fencingNumber) implements Event {}

    /**
     * An order was sent to the platform.
     *
     * @param orderId The identifier of the order.
     * @param pool The name of the pool.
     * @param desiredCount The number of backend servers that the pool is to have.
     * @param fencingNumber The fencing number of the order.
     * @param reason The code of the reason for the order.
     */
    public record OrderSent(String orderId, String pool, int desiredCount, long fencingNumber, String reason)
            implements Event {}

    /**
     * The platform answered an order, or its outcome remained unknown.
     *
     * @param orderId The identifier of the order.
     * @param result The code of the result.
     */
    public record OrderEnded(String orderId, String result) implements Event {}

    /**
     * An order was dropped before it was sent.
     *
     * @param orderId The identifier of the order.
     * @param reason The code of the reason.
     */
    public record OrderDropped(String orderId, String reason) implements Event {}

    /**
     * A gateway was removed from membership because its host is neither listed nor heard from.
     *
     * @param gateway The incarnation of the gateway.
     * @param reason The code of the reason.
     */
    public record GatewayDeclaredGone(String gateway, String reason) implements Event {}

    /**
     * The platform acknowledged the report of a usage window.
     *
     * @param windowId The number of the window.
     * @param lines The number of customer and class pairs in the report.
     */
    public record UsageReported(long windowId, int lines) implements Event {}

    /**
     * A planned stop ended before the release of the lease was appended to the log.
     *
     * @param controller The incarnation of the controller.
     * @param reason The message of the error.
     */
    public record StopIncomplete(String controller, String reason) implements Event {}

    /**
     * A record of the cleaning of a backend server was submitted to the log.
     *
     * @param backendServer The name of the backend server.
     * @param step The code of the step.
     */
    public record CleaningStep(String backendServer, String step) implements Event {}

    /**
     * A backend server was not cleaned in its window and is scheduled for the next one.
     *
     * @param drainId The identifier of the drain.
     * @param backendServer The name of the backend server.
     * @param reason The code of the reason.
     */
    public record CleaningMissed(String drainId, String backendServer, String reason) implements Event {}
}
