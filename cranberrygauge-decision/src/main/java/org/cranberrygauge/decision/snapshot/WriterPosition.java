package org.cranberrygauge.decision.snapshot;

/**
 * The last applied position of one writer.
 *
 * @param sequence The highest applied sequence number.
 * @param appendedAtMillis The log time at that entry in milliseconds since the epoch.
 */
public record WriterPosition(String writer, long sequence, long appendedAtMillis) {}
