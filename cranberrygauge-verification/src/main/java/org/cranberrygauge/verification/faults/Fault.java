package org.cranberrygauge.verification.faults;

/** The faults that are injected. */
enum Fault {
    /** The process dies. */
    KILL,
    /** The process is frozen for longer than a lease and thaws. */
    FREEZE,
    /** The process reaches nobody for a time. */
    CUT,
    /** What the step sends arrives seconds later. */
    SLOW,
    /** The step takes effect and its answer is lost. */
    LOST_ANSWER,
    /** What the step sends is delivered twice. */
    DUPLICATE,
    /** The step gets the answer that belongs to another. */
    CROSSED_ANSWER,
    /** The log takes and gives nothing for a time. */
    LOG_OUTAGE,
    /** The backend servers of a data centre vanish. */
    EVICTION,
    /** A second operator acts at the same moment. */
    OPERATOR_RACE
}
