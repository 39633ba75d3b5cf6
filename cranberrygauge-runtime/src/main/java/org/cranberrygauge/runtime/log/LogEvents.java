package org.cranberrygauge.runtime.log;

import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.runtime.event.Event;

/** The events of following the log. */
public final class LogEvents {

    /** Prevents instances. */
    private LogEvents() {}

    /**
     * An entry of the log could not be read and was skipped.
     *
     * @param offset The offset.
     * @param reason The reason.
     */
    public record EntryUnreadable(long offset, String reason) implements Event {}

    /**
     * A change of the configuration was judged.
     *
     * @param offset The offset.
     * @param changeId The identifier of the change.
     * @param operator The operator.
     * @param verdict The verdict.
     */
    public record ConfigurationJudged(long offset, String changeId, String operator, ConfigurationState.Verdict verdict)
            implements Event {}

    /**
     * A snapshot was begun.
     *
     * @param throughOffset The offset up to which it holds the log.
     * @param parts The number of its parts.
     * @param characters The number of characters of its text.
     */
    public record SnapshotBegun(long throughOffset, int parts, int characters) implements Event {}

    /**
     * The state was restored from a snapshot.
     *
     * @param throughOffset The offset up to which it holds the log.
     */
    public record SnapshotRestored(long throughOffset) implements Event {}

    /**
     * The log no longer keeps the entries that this process needs, and holds no snapshot to start from.
     *
     * @param offset The offset of the last applied entry.
     * @param firstOffset The offset of the oldest entry that the log keeps; 0 for none.
     */
    public record SnapshotMissing(long offset, long firstOffset) implements Event {}
}
