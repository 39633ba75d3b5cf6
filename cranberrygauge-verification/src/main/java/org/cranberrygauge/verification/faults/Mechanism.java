package org.cranberrygauge.verification.faults;

/** The mechanisms that can be switched off, which shows that the matrix can detect their absence. */
enum Mechanism {
    /** Calls are reserved in the log before dispatch. */
    RESERVATION,
    /** With the reservation off, a gateway remembers its own calls. */
    GATEWAY_MEMORY,
    /** An answer is accepted only for the attempt that it names. */
    ATTEMPT_CHECK,
    /** A broken stream is resumed on another engine after the tokens already delivered. */
    RESUME,
    /** Intents and orders are checked against the fencing number and the lease before they are sent. */
    FENCING,
    /** A claimant waits for the full duration of the last claim. */
    LEASE_WAIT,
    /** A gateway with a stale view of the log stops admitting. */
    FRESHNESS,
    /** A change is accepted only after all members confirmed it. */
    ACCEPTANCE,
    /** A change applies only to the version it is based on. */
    OPTIMISTIC_VERSION,
    /** Usage is written as cumulative totals. */
    CUMULATIVE_USAGE,
    /** A peer holds a copy of usage that is not in the log yet, and writes it for a silent gateway. */
    USAGE_COPY,
    /** The figures of a window are those of the log up to its close. */
    PREFIX_WINDOW,
    /** A backend server is released only after all gateways applied the drain and no request runs. */
    DRAIN
}
