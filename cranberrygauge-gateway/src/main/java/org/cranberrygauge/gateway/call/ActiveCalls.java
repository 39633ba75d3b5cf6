package org.cranberrygauge.gateway.call;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * The registry of requests that are queued or running.
 *
 * <p>Safe for use by several threads.
 */
public final class ActiveCalls {

    private final Set<ActiveCall> calls = ConcurrentHashMap.newKeySet();

    /** The keys in force after the most recent change; null before the first change. */
    private volatile KeyIndex latestKeys;

    /** Registers a request and aborts it if its key was withdrawn between authentication and registration. */
    public void add(ActiveCall call) {
        calls.add(call);
        KeyIndex keys = latestKeys;
        if (keys != null) {
            abortIfWithdrawn(call, keys);
        }
    }

    public void remove(ActiveCall call) {
        calls.remove(call);
    }

    public int size() {
        return calls.size();
    }

    /** Aborts the requests whose key is no longer in force. */
    public void abortWithdrawn(KeyIndex keys) {
        latestKeys = keys;
        calls.forEach(call -> abortIfWithdrawn(call, keys));
    }

    /** Ends the queued requests that must not begin any more. */
    public void recheckQueued() {
        calls.forEach(ActiveCall::recheckQueued);
    }

    /** Ends all requests, since this gateway has stopped. */
    public void endAll() {
        calls.forEach(call -> call.abort(RequestFailure.notRun(ErrorCode.NOT_ADMITTING, "this gateway has stopped")));
    }

    private static void abortIfWithdrawn(ActiveCall call, KeyIndex keys) {
        if (call.key() != null && keys.owner(call.key()).isEmpty()) {
            call.abort(RequestFailure.notRun(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn"));
        }
    }
}
