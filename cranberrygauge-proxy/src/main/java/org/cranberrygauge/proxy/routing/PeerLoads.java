package org.cranberrygauge.proxy.routing;

import java.util.Map;

/**
 * The work that the other hosts have at backend servers, as they last said.
 *
 * @param byBackend The work by incarnation of the backend server.
 * @param hosts The number of hosts that take requests, this one included.
 */
public record PeerLoads(Map<String, Work> byBackend, int hosts) {

    /** No other hosts are known. */
    public static final PeerLoads ALONE = new PeerLoads(Map.of(), 1);

    /** Copies the map. */
    public PeerLoads {
        byBackend = Map.copyOf(byBackend);
    }

    /**
     * Returns the work of the other hosts at a backend server.
     *
     * @param incarnation The incarnation of the backend server.
     * @return The work.
     */
    public Work at(String incarnation) {
        return byBackend.getOrDefault(incarnation, Work.NONE);
    }

    /**
     * Work at a backend server.
     *
     * @param running The requests in flight.
     * @param unreadTokens The prompt tokens of requests that wait for their first event.
     * @param heldTokens The tokens that requests in flight add to memory.
     * @param shortRunning The requests in flight with short prompts.
     */
    public record Work(int running, long unreadTokens, long heldTokens, int shortRunning) {

        /** No work. */
        public static final Work NONE = new Work(0, 0, 0, 0);

        /**
         * Adds work.
         *
         * @param other The other work.
         * @return The sum.
         */
        public Work plus(Work other) {
            return new Work(
                    running + other.running,
                    unreadTokens + other.unreadTokens,
                    heldTokens + other.heldTokens,
                    shortRunning + other.shortRunning);
        }
    }
}
