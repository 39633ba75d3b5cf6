package org.cranberrygauge.model.service;

/** Whether a call may be retried after it may have been executed. */
public enum Repetition {
    /** The call may be executed repeatedly without harm. */
    IDEMPOTENT,
    /** The call must be executed at most once. */
    AT_MOST_ONCE
}
