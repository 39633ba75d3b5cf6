package org.cranberrygauge.decision.routing;

/**
 * The backend servers of a target that can take a request now.
 *
 * <p>Not thread-safe; callers serialize access. Valid until the table that it was obtained from changes.
 */
public interface Candidates {

    int size();

    /** Returns the number of backend servers of the target that may get work, with or without a free slot. */
    int healthy();

    /**
     * Returns a candidate by position.
     *
     * @param index The position from 0, in no particular order.
     */
    BackendView get(int index);

    /**
     * Returns a candidate by server name.
     *
     * @return The candidate, or {@code null} if the server cannot take a request now.
     */
    BackendView find(String server);

    /**
     * Returns the backend server that a digest is assigned to, which is the same at each gateway.
     *
     * @return The candidate, or {@code null} if the server cannot take a request now.
     */
    BackendView assigned(String digest);
}
