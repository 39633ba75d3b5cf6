package org.cranberrygauge.verification.faults;

/** The steps of the protocols at which faults are injected. */
enum Step {
    /** A call is reserved in the log. */
    RESERVE,
    /** A reserved call is dispatched. */
    DISPATCH,
    /** The first byte of the answer arrives. */
    FIRST_BYTE,
    /** Half of the answer has arrived. */
    MID_STREAM,
    /** The last byte of the answer arrives. */
    LAST_BYTE,
    /** The outcome is written to the log. */
    RECORD,
    /** The lease is claimed. */
    CLAIM,
    /** The lease is renewed. */
    RENEW,
    /** The intent of an order is appended. */
    INTENT,
    /** An order is sent, after the lease was checked. */
    ORDER,
    /** The answer to an order is processed. */
    ANSWER,
    /** A configuration change is appended. */
    APPEND,
    /** A gateway applies a configuration change. */
    APPLY,
    /** A gateway is asked to confirm a configuration change. */
    CONFIRM,
    /** Usage is written to the log. */
    DELTA,
    /** A usage window is closed. */
    CLOSE,
    /** A usage window is reported. */
    REPORT,
    /** A drain is appended to the log. */
    DRAIN_START,
    /** A gateway sends a request according to the drains it knows. */
    DRAIN_APPLY,
    /** The controller waits for the gateways and the running requests. */
    DRAIN_WAIT,
    /** The drained backend server is released. */
    HAND_BACK
}
