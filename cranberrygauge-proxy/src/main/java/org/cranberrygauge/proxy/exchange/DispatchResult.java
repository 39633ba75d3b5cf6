package org.cranberrygauge.proxy.exchange;

/** The result of an attempt to send a queued request. */
enum DispatchResult {
    /** The request was sent. */
    SENT,
    /** No engine has capacity for its prompt. */
    NO_CAPACITY,
    /** All servers that it may be sent to state a limit, and this host holds no permit. */
    NO_PERMIT
}
