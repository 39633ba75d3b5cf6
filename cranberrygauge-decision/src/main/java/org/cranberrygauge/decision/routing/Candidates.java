package org.cranberrygauge.decision.routing;

/**
 * The backend servers that serve a target and can take a request now.
 *
 * <p>Used by one thread at a time; valid until the table that it is taken from changes.
 */
public interface Candidates {

    /**
     * Returns the number of candidates.
     *
     * @return The number.
     */
    int size();

    /**
     * Returns the number of backend servers of the target that may get work, free or not.
     *
     * @return The number.
     */
    int healthy();

    /**
     * Returns a candidate.
     *
     * @param index The position from 0, in no particular order.
     * @return The candidate.
     */
    BackendView get(int index);

    /**
     * Finds a candidate by name.
     *
     * @param server The name of the backend server.
     * @return The candidate, or null if the server can't take a request now.
     */
    BackendView find(String server);

    /**
     * Finds the backend server that a digest is assigned to, the same one on each gateway.
     *
     * @param digest The digest.
     * @return The candidate, or null if the server can't take a request now.
     */
    BackendView home(String digest);
}
