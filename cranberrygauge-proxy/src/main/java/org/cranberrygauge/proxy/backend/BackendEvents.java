package org.cranberrygauge.proxy.backend;

import org.cranberrygauge.decision.backend.BackendNotice;
import org.cranberrygauge.decision.backend.BackendNotice.LeavingStated;
import org.cranberrygauge.decision.backend.BackendNotice.LimitChanged;
import org.cranberrygauge.decision.backend.BackendNotice.PauseStated;
import org.cranberrygauge.runtime.event.Event;

/** The events of what backend servers state of themselves. */
public final class BackendEvents {

    /** The logged limit of a backend server that takes any rate. */
    private static final double UNLIMITED = -1;

    private BackendEvents() {}

    /**
     * Returns the event of a change.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param source The request whose response stated it, or the host that reported it.
     */
    public static Event of(long nowMillis, String incarnation, BackendNotice notice, String source) {
        if (notice instanceof LimitChanged limit) {
            return new BackendLimitChanged(incarnation, limit.perSecond().orElse(UNLIMITED), source);
        }
        if (notice instanceof PauseStated pause) {
            return new BackendPaused(incarnation, pause.untilMillis() - nowMillis, source);
        }
        return notice instanceof LeavingStated
                ? new BackendLeavingStated(incarnation, source)
                : new BackendStatementUnreadable(incarnation, source);
    }

    /**
     * A backend server was found slower or faster than its pool, or typical of it again; logged at most once in 10 s for
     * each server.
     *
     * @param backend The incarnation of the backend server.
     * @param pool The name of its pool.
     * @param standing How it compares with its pool.
     * @param ratioPercent The time that it takes, in percent of the time that its pool takes.
     */
    public record BackendSpeedChanged(String backend, String pool, String standing, long ratioPercent)
            implements Event {}

    /**
     * None of several backend servers takes a connection of this host; requests are forwarded to other hosts.
     *
     * @param listed The number of listed backend servers.
     */
    public record BackendsUnreachable(int listed) implements Event {}

    /**
     * A backend server takes connections of this host again.
     *
     * @param afterMillis The time since the host was isolated, in milliseconds.
     */
    public record BackendsReachable(long afterMillis) implements Event {}

    /**
     * A backend server stated another limit on the requests that it takes than before.
     *
     * @param backend The incarnation of the backend server.
     * @param perSecond The requests per second that it takes from all hosts together; -1 if it takes any rate.
     * @param source The request whose response stated it, or the host that reported it.
     */
    public record BackendLimitChanged(String backend, double perSecond, String source) implements Event {}

    /**
     * A backend server stated in a response that it leaves; it gets no further requests.
     *
     * @param backend The incarnation of the backend server.
     * @param source The request whose response stated it, or the host that reported it.
     */
    public record BackendLeavingStated(String backend, String source) implements Event {}

    /**
     * A backend server turned a request away and asked this host for a pause.
     *
     * @param backend The incarnation of the backend server.
     * @param forMillis The duration of the pause in milliseconds.
     * @param source The request that it turned away.
     */
    public record BackendPaused(String backend, long forMillis, String source) implements Event {}

    /**
     * A backend server stated something of itself that can't be read and is ignored; logged once for each server.
     *
     * @param backend The incarnation of the backend server.
     * @param source The request whose response stated it.
     */
    public record BackendStatementUnreadable(String backend, String source) implements Event {}
}
