package org.cranberrygauge.runtime.log;

import org.cranberrygauge.decision.configuration.ConfigurationMachine;
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
    public record ConfigurationJudged(
            long offset, String changeId, String operator, ConfigurationMachine.Verdict verdict) implements Event {}
}
