package org.cranberrygauge.proxy.exchange;

/** The result of an attempt to send a queued request. */
enum DispatchResult {
    /** The request was sent. */
    SENT,
    /** The request has ended, since it must not be sent any more. */
    ENDED,
    /** No server has capacity for it. */
    NO_CAPACITY,
    /** No server that it may be sent to takes a request of this host now. */
    NOT_AVAILABLE
}
