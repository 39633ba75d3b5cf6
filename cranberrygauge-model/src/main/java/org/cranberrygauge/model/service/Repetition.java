package org.cranberrygauge.model.service;

/** Whether a call may be repeated. */
public enum Repetition {
    /** The call may be repeated without harm. */
    IDEMPOTENT,
    /** The call must run at most once. */
    AT_MOST_ONCE
}
