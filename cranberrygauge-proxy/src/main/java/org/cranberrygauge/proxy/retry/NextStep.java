package org.cranberrygauge.proxy.retry;

/** What follows a failed attempt. */
public enum NextStep {
    /** The request goes to another backend server. */
    TRY_ANOTHER,
    /** The caller is told that the request has not run and when to come back. */
    REFUSE,
    /** The caller is told that the request may have run. */
    REPORT_UNKNOWN,
    /** The answer of the backend server is passed on as it is. */
    PASS_ON,
    /** The connection to the caller ends without the end of the stream. */
    CUT
}
