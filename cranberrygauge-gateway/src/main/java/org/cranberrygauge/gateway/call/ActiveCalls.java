package org.cranberrygauge.gateway.call;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * The requests that wait or run.
 *
 * <p>Safe for use by several threads.
 */
public final class ActiveCalls {

    /** The requests. */
    private final Set<ActiveCall> calls = ConcurrentHashMap.newKeySet();

    /** The keys that worked when they changed last, or null before. */
    private volatile KeyIndex latest;

    /**
     * Adds a request, and ends it if its key was withdrawn since it was checked.
     *
     * @param call The request.
     */
    public void add(ActiveCall call) {
        calls.add(call);
        KeyIndex keys = latest;
        if (keys != null) {
            endIfWithdrawn(call, keys);
        }
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
    public void endWithdrawn(KeyIndex keys) {
        latest = keys;
        calls.forEach(call -> endIfWithdrawn(call, keys));
    }

    /** Ends the requests that wait and are now held in quarantine. */
    public void reconsider() {
        calls.forEach(ActiveCall::reconsider);
    }

    /**
     * Ends a request if its key no longer works.
     *
     * @param call The request.
     * @param keys The keys that work.
     */
    private static void endIfWithdrawn(ActiveCall call, KeyIndex keys) {
        if (call.key() != null && keys.owner(call.key()).isEmpty()) {
            call.abort(RequestFailure.notRun(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn"));
        }
    }
}
