package org.cranberrygauge.proxy.control;

/** Runs actions after a time, on the thread of the caller. Thread-safe. */
public interface Timers {

    /** @param millis The time in milliseconds, at least 1. */
    void after(long millis, Runnable action);
}
