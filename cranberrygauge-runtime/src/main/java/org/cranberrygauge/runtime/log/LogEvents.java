package org.cranberrygauge.runtime.log;

import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.runtime.event.Event;

/** The events emitted while following the log. */
public final class LogEvents {

    private LogEvents() {}

    /**
     * A log entry could not be parsed and was skipped.
     *
     * @param offset The offset of the entry.
     * @param reason The error message.
     */
    public record EntryUnreadable(long offset, String reason) implements Event {}

    /**
     * A configuration change was accepted or rejected.
     *
     * @param offset The offset of the change in the log.
     * @param changeId The identifier of the change.
     * @param operator The operator who submitted it.
     * @param verdict Whether the change was accepted, or why it was not.
     */
    public record ConfigurationJudged(long offset, String changeId, String operator, ConfigurationState.Verdict verdict)
            implements Event {}

    /**
     * A snapshot was started.
     *
     * @param throughOffset The offset of the last log entry that it covers.
     * @param parts The number of its parts.
     * @param characters The length of its text in characters.
     */
    public record SnapshotBegun(long throughOffset, int parts, int characters) implements Event {}

    /**
     * The state was restored from a snapshot.
     *
     * @param throughOffset The offset of the last log entry that the snapshot covers.
     */
    public record SnapshotRestored(long throughOffset) implements Event {}

    /**
     * The log no longer retains the entries that this process needs, and contains no snapshot to restore.
     *
     * @param offset The offset of the last applied entry.
     * @param firstOffset The offset of the oldest retained entry; 0 if there is none.
     */
    public record SnapshotMissing(long offset, long firstOffset) implements Event {}
}
