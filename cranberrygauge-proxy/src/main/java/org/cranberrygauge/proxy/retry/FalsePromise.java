package org.cranberrygauge.proxy.retry;

import java.util.Set;
import org.cranberrygauge.proxy.configuration.RouteKind;

/**
 * Tells which responses of backend servers must not reach a caller, since their status promises it that the request has not run
 * and never will, and their server has not stated that. The caller would send the request again. Stateless and thread-safe.
 */
public final class FalsePromise {

    private static final int REQUEST_TIMEOUT = 408;

    private static final int TOO_MANY_REQUESTS = 429;

    private static final int UNAVAILABLE = 503;

    /** The statuses that promise this. A server that answers 421 has not run the request, so that its promise is true. */
    private static final Set<Integer> PROMISES = Set.of(REQUEST_TIMEOUT, TOO_MANY_REQUESTS, UNAVAILABLE);

    private FalsePromise() {}

    /**
     * Decides on a response whose server has not stated that the request did not run.
     *
     * @param kind The kind of the request's route; a request that may be repeated can get any status.
     */
    public static boolean isGiven(RouteKind kind, int status) {
        return !kind.mayRetry() && PROMISES.contains(status);
    }
}
