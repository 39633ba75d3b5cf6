package org.cranberrygauge.gateway.call;

import org.cranberrygauge.model.customer.KeyDigest;

/** A request that waits or runs, as seen by those that may end it. */
public interface ActiveCall {

    /**
     * Returns the digest of the key it came with.
     *
     * @return The digest, or null on a route open to all.
     */
    KeyDigest key();

    /**
     * Ends the request with a failure, from any thread.
     *
     * @param failure The failure, whose claim of "not run" is corrected where something was sent.
     */
    void abort(RequestFailure failure);

    /** Ends the request if it waits and is now held in quarantine, from any thread. */
    void reconsider();
}
