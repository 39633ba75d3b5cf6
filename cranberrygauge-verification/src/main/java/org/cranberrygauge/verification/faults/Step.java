package org.cranberrygauge.verification.faults;

/** The steps of the protocols at which faults are injected. */
enum Step {
    /** A call is reserved in the log. */
    RESERVE,
    /** A reserved call is sent. */
    DISPATCH,
    /** The backend server has the call. */
    FIRST_BYTE,
    /** The whole answer is there. */
    LAST_BYTE,
    /** The outcome is written to the log. */
    RECORD,
    /** The lease is claimed. */
    CLAIM,
    /** The lease is renewed. */
    RENEW,
    /** The intent of an order is written. */
    INTENT,
    /** An order is sent, after the lease was checked. */
    ORDER,
    /** The answer to an order is taken. */
    ANSWER,
    /** A change of the configuration is written. */
    APPEND,
    /** A gateway applies a change. */
    APPLY,
    /** A gateway is asked to confirm a change. */
    CONFIRM,
    /** Usage is written to the log. */
    DELTA,
    /** A usage window is closed. */
    CLOSE,
    /** A usage window is reported. */
    REPORT,
    /** A drain is written to the log. */
    DRAIN_START,
    /** A gateway sends a request by what it knows of drains. */
    DRAIN_APPLY,
    /** Gateways and running requests are awaited. */
    DRAIN_WAIT,
    /** The drained backend server is handed back. */
    HAND_BACK
}
