package org.cranberrygauge.verification.faults;

/** The mechanisms that can be switched off, to show that the matrix can fail. */
enum Mechanism {
    /** Calls are reserved in the log before dispatch. */
    RESERVATION,
    /** With the reservation off, a gateway remembers its own calls. */
    GATEWAY_MEMORY,
    /** An answer is taken only for the attempt that it names. */
    ATTEMPT_CHECK,
    /** Intents and orders are checked against the fencing number and the lease before they are sent. */
    FENCING,
    /** A claimant waits the full lease of the last claim. */
    LEASE_WAIT,
    /** A gateway that is cut off stops admitting. */
    FRESHNESS,
    /** A change is accepted only once all members confirmed it. */
    ACCEPTANCE,
    /** A change applies only to the version that it was based on. */
    OPTIMISTIC_VERSION,
    /** Usage is written as totals since the start. */
    CUMULATIVE_USAGE,
    /** The figures of a window are those of the log before its close. */
    PREFIX_WINDOW,
    /** A backend server is handed back only after gateways and requests were awaited. */
    DRAIN
}
