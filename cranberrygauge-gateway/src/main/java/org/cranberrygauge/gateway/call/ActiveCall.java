package org.cranberrygauge.gateway.call;

import org.cranberrygauge.model.customer.KeyDigest;

/** A request that is queued or running, as seen by the components that may end it early. */
public interface ActiveCall {

    /** Returns the digest of the API key that the request was sent with, or null on a route that needs no key. */
    KeyDigest key();

    /**
     * Ends the request with a failure. May be called on any thread.
     *
     * @param failure The failure to answer with; its "not run" flag is corrected if the request has already been sent.
     */
    void abort(RequestFailure failure);

    /**
     * Ends the request if it is still queued and must not begin any more, since its fingerprint has been quarantined in the
     * meantime or this gateway stops. May be called on any thread.
     */
    void recheckQueued();
}
