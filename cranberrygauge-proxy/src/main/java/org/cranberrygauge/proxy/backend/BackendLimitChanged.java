package org.cranberrygauge.proxy.backend;

import org.cranberrygauge.decision.limit.StatedLimits.Statement;
import org.cranberrygauge.runtime.event.Event;

/**
 * A backend server stated another limit on the requests that it takes than before.
 *
 * @param backend The incarnation of the backend server.
 * @param perSecond The requests per second that it takes from all hosts together; -1 if it takes any rate.
 * @param source The request whose response stated it, or the host that reported it.
 */
public record BackendLimitChanged(String backend, double perSecond, String source) implements Event {

    /** The logged limit of a backend server that takes any rate. */
    private static final double UNLIMITED = -1;

    public static BackendLimitChanged of(String incarnation, Statement statement, String source) {
        return new BackendLimitChanged(incarnation, statement.perSecond().orElse(UNLIMITED), source);
    }
}
