package org.cranberrygauge.gateway.call;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.decision.configuration.KeyRing;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * The requests that wait or run.
 *
 * <p>Safe for use by several threads.
 */
public final class ActiveCalls {

    /** The requests. */
    private final Set<ActiveCall> calls = ConcurrentHashMap.newKeySet();

    /**
     * Adds a request.
     *
     * @param call The request.
     */
    public void add(ActiveCall call) {
        calls.add(call);
    }

    /**
     * Removes a request that ended.
     *
     * @param call The request.
     */
    public void remove(ActiveCall call) {
        calls.remove(call);
    }

    /**
     * Returns the number of requests.
     *
     * @return The number.
     */
    public int size() {
        return calls.size();
    }

    /**
     * Ends the requests whose key no longer works.
     *
     * @param keys The keys that work.
     */
    public void endWithdrawn(KeyRing keys) {
        for (ActiveCall call : calls) {
            if (call.key() != null && keys.owner(call.key()).isEmpty()) {
                call.abort(RequestFailure.notRun(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn"));
            }
        }
    }
}
