package org.cranberrygauge.verification.faults;

/** The faults that the matrix injects. */
enum Fault {
    /** The process is killed. */
    KILL,
    /** The process is paused for longer than a lease, then resumes. */
    FREEZE,
    /** The process is partitioned from all others for a time. */
    CUT,
    /** The message that the step sends is delayed by seconds. */
    SLOW,
    /** The step takes effect and its answer is lost. */
    LOST_ANSWER,
    /** The message that the step sends is delivered twice. */
    DUPLICATE,
    /** The step receives the answer to another request. */
    CROSSED_ANSWER,
    /** The log is unavailable for a time. */
    LOG_OUTAGE,
    /** The backend servers of a data centre are evicted. */
    EVICTION,
    /** A second operator acts at the same moment. */
    OPERATOR_RACE
}
