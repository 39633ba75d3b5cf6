package org.cranberrygauge.decision.snapshot;

/**
 * How far the entries of one writer were applied.
 *
 * @param writer The incarnation of the writer.
 * @param sequence The highest sequence number applied.
 * @param appendedAtMillis The time of the log at that entry in milliseconds of the epoch.
 */
public record WriterPosition(String writer, long sequence, long appendedAtMillis) {}
