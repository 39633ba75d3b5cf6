package org.cranberrygauge.controller;

import org.cranberrygauge.runtime.event.Event;

/** The events of a controller. */
public final class ControllerEvents {

    /** Prevents instances. */
    private ControllerEvents() {}

    /**
     * The controller listens.
     *
     * @param controller The incarnation.
     * @param operationsPort The port for operations.
     */
    public record ControllerListening(String controller, int operationsPort) implements Event {}

    /**
     * The controller could not start.
     *
     * @param reason The reason.
     */
    public record ControllerStartFailed(String reason) implements Event {}

    /**
     * The lease changed hands as seen by this controller.
     *
     * @param controller The incarnation.
     * @param held Whether this controller holds it.
     * @param holder The holder as the log states it.
     * @param fencingNumber The fencing number.
     */
    public record LeaseChanged(String controller, boolean held, String holder, long fencingNumber) implements Event {}

    /**
     * An order was sent.
     *
     * @param orderId The identifier.
     * @param pool The pool.
     * @param desiredCount The number of backend servers that the pool shall have.
     * @param fencingNumber The fencing number.
     * @param reason The reason code.
     */
    public record OrderSent(String orderId, String pool, int desiredCount, long fencingNumber, String reason)
            implements Event {}

    /**
     * An order ended.
     *
     * @param orderId The identifier.
     * @param result The result.
     */
    public record OrderEnded(String orderId, String result) implements Event {}

    /**
     * An order was dropped before it was sent.
     *
     * @param orderId The identifier.
     * @param reason The reason code.
     */
    public record OrderDropped(String orderId, String reason) implements Event {}

    /**
     * A gateway was declared gone, since its host is neither listed nor heard.
     *
     * @param gateway The incarnation of the gateway.
     * @param reason The reason code.
     */
    public record GatewayDeclaredGone(String gateway, String reason) implements Event {}

    /**
     * A usage window was reported.
     *
     * @param windowId The number of the window.
     * @param lines The number of lines.
     */
    public record UsageReported(long windowId, int lines) implements Event {}

    /**
     * A planned stop did not end all that it should.
     *
     * @param controller The incarnation.
     * @param reason The reason.
     */
    public record StopIncomplete(String controller, String reason) implements Event {}

    /**
     * A step of the cleaning of a backend server was written.
     *
     * @param backendServer The backend server.
     * @param step The step.
     */
    public record CleaningStep(String backendServer, String step) implements Event {}

    /**
     * A backend server was not cleaned in its window; it is planned for the next.
     *
     * @param drainId The identifier of the drain.
     * @param backendServer The backend server.
     * @param reason The reason code.
     */
    public record CleaningMissed(String drainId, String backendServer, String reason) implements Event {}
}
