package org.cranberrygauge.decision.connection;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * The connections that a server has accepted, and which of them it has kept open for too long.
 *
 * <p>Invariants: a connection with a request in progress is neither overdue nor displaced, however long the request takes;
 * any other one is overdue after a time. Connections that wait for the same thing are kept in the order in which they began to
 * wait, so that finding an overdue one does not depend on their number. Not thread-safe.
 *
 * @param <C> The type of a connection, which is compared by identity or equality.
 */
public final class ConnectionTable<C> {

    /** The number of unwritten bytes of a connection for which it was not examined yet. */
    private static final long NOT_EXAMINED = -1;

    private final Map<C, Activity> connections = new HashMap<>();

    /** The connections on which no request has begun to arrive, the one that has waited longest first. */
    private final Set<C> idle = new LinkedHashSet<>();

    /** The connections on which a part of the head of a request has arrived, the one that has waited longest first. */
    private final Set<C> heads = new LinkedHashSet<>();

    /** Adds a connection that has just been opened. */
    public void open(C connection, long nowMillis) {
        Activity activity = new Activity();
        connections.put(connection, activity);
        await(connection, activity, nowMillis);
    }

    /** Removes a connection; returns the number of requests that it has carried, or 0 if it was removed before. */
    public int remove(C connection) {
        idle.remove(connection);
        heads.remove(connection);
        Activity activity = connections.remove(connection);
        return activity == null ? 0 : activity.requests;
    }

    /** Records that the first bytes of the head of a request have arrived. */
    public void beginHead(C connection, long nowMillis) {
        recordHead(connection, true, nowMillis);
    }

    /** Records that the head of a request is complete. */
    public void endHead(C connection, long nowMillis) {
        recordHead(connection, false, nowMillis);
    }

    private void recordHead(C connection, boolean begun, long nowMillis) {
        Activity activity = connections.get(connection);
        if (activity == null) {
            return;
        }
        activity.headBegun = begun;
        if (activity.inProgress == 0) {
            await(connection, activity, nowMillis);
        }
    }

    /** Records that a request is in progress from now on. */
    public void beginRequest(C connection) {
        Activity activity = connections.get(connection);
        if (activity == null) {
            return;
        }
        activity.inProgress++;
        activity.requests++;
        idle.remove(connection);
        heads.remove(connection);
    }

    /** Records that the response to a request has ended. */
    public void endRequest(C connection, long nowMillis) {
        Activity activity = connections.get(connection);
        if (activity != null && --activity.inProgress == 0) {
            await(connection, activity, nowMillis);
        }
    }

    /** Starts the time for which a connection waits for a request, or for the rest of its head. */
    private void await(C connection, Activity activity, long nowMillis) {
        idle.remove(connection);
        heads.remove(connection);
        activity.sinceMillis = nowMillis;
        activity.unwrittenBytes = NOT_EXAMINED;
        (activity.headBegun ? heads : idle).add(connection);
    }

    /** Returns a connection whose time is over, to be examined by {@link #examine}. */
    public Optional<C> overdue(long nowMillis, ConnectionLimits limits) {
        Optional<C> slowest = first(heads).filter(head -> waitedMillis(head, nowMillis) >= limits.headMillis());
        return slowest.isPresent()
                ? slowest
                : first(idle).filter(connection -> waitedMillis(connection, nowMillis) >= limits.idleMillis());
    }

    /**
     * Decides whether a connection is closed whose time was over, after all that its peer has sent was read. One whose peer
     * goes on reading a response gets more time.
     *
     * @param unwrittenBytes The bytes that wait to be written to the connection.
     * @return Why it is closed; empty if it stays.
     */
    public Optional<CloseReason> examine(C connection, long nowMillis, ConnectionLimits limits, long unwrittenBytes) {
        boolean head = heads.contains(connection);
        if (!head && !idle.contains(connection)) {
            return Optional.empty();
        }
        if (waitedMillis(connection, nowMillis) < (head ? limits.headMillis() : limits.idleMillis())) {
            return Optional.empty();
        }
        if (unwrittenBytes == 0) {
            return Optional.of(head ? CloseReason.HEAD_TIMEOUT : CloseReason.IDLE);
        }
        Activity activity = connections.get(connection);
        if (activity.unwrittenBytes == unwrittenBytes) {
            return Optional.of(CloseReason.NOT_READING);
        }
        await(connection, activity, nowMillis);
        activity.unwrittenBytes = unwrittenBytes;
        return Optional.empty();
    }

    /**
     * Returns the connection that is closed first for the sake of another one: the one that has waited longest for a request, or
     * else for the rest of a head. Those whose response is not wholly written are left out.
     *
     * @param unwrittenBytes Returns the bytes that wait to be written to a connection.
     */
    public Optional<C> longestWaiting(ToLongFunction<C> unwrittenBytes) {
        Optional<C> longest = firstWritten(idle, unwrittenBytes);
        return longest.isPresent() ? longest : firstWritten(heads, unwrittenBytes);
    }

    private Optional<C> firstWritten(Set<C> waiting, ToLongFunction<C> unwrittenBytes) {
        return waiting.stream()
                .filter(connection -> unwrittenBytes.applyAsLong(connection) == 0)
                .findFirst();
    }

    /** Tells whether a connection waits for a request or for the rest of its head. */
    public boolean isWaiting(C connection) {
        return idle.contains(connection) || heads.contains(connection);
    }

    /** Returns for how long a connection has waited for a request or the rest of its head, in milliseconds; 0 if it doesn't. */
    public long waitedMillis(C connection, long nowMillis) {
        return isWaiting(connection) ? nowMillis - connections.get(connection).sinceMillis : 0;
    }

    public int size() {
        return connections.size();
    }

    /** Returns a view of the connections. */
    public Set<C> all() {
        return connections.keySet();
    }

    private static <C> Optional<C> first(Set<C> connections) {
        Iterator<C> first = connections.iterator();
        return first.hasNext() ? Optional.of(first.next()) : Optional.empty();
    }

    /** What happens on a connection. */
    private static final class Activity {

        /** The requests so far. */
        private int requests;

        /** The requests whose response has not ended. */
        private int inProgress;

        private boolean headBegun;

        /** The monotonic time since which the connection waits, in milliseconds. */
        private long sinceMillis;

        /** The bytes that waited to be written when the connection was last examined. */
        private long unwrittenBytes;
    }
}
