package org.cranberrygauge.proxy.retry;

/** What follows a failed attempt. */
public enum NextStep {
    /** The request is sent to another backend server. */
    TRY_ANOTHER,
    /** The request is rejected as not run, with a Retry-After header. */
    REFUSE,
    /** The response states that the request may have run. */
    REPORT_UNKNOWN,
    /** The response of the backend server is forwarded unchanged. */
    PASS_ON,
    /** The connection to the caller is closed without the end of the stream. */
    CUT
}
