package org.cranberrygauge.runtime.http;

import org.cranberrygauge.runtime.event.Event;

/** What is logged of connections to servers, and of those that this process has accepted. */
public final class ConnectionEvents {

    private ConnectionEvents() {}

    /**
     * A server sent bytes while no request was in progress on its connection.
     *
     * @param server The address of the server.
     * @param moment AFTER_RESPONSE if they came in one read with the end of a response, otherwise IDLE.
     * @param bytes The number of bytes that were read with them.
     * @param likeResponse Whether they begin like a response.
     * @param responses The number of responses on the connection before them.
     */
    public record UnsolicitedBytes(String server, String moment, int bytes, boolean likeResponse, int responses)
            implements Event {}

    /**
     * The head of a response holds a second status line, so that it may be made of two responses.
     *
     * @param server The address of the server.
     * @param status The status of the head as decoded.
     * @param responses The number of responses on the connection before it.
     */
    public record SecondStatusLine(String server, int status, int responses) implements Event {}

    /**
     * A connection that this process had accepted was closed by it while no request was in progress there.
     *
     * @param listener The listener that accepted it: callers, hosts or status.
     * @param peer The address of the other side.
     * @param reason IDLE, HEAD_TIMEOUT, NOT_READING, DISPLACED or REFUSED.
     * @param waitedMillis The time since the last request, or since the head began, in milliseconds.
     * @param requests The number of requests on the connection before.
     * @param open The number of connections that stay open.
     */
    public record AcceptedConnectionClosed(
            String listener, String peer, String reason, long waitedMillis, int requests, int open) implements Event {}
}
