package org.cranberrygauge.decision.configuration;

import org.cranberrygauge.model.configuration.VersionedConfiguration;
import org.cranberrygauge.model.record.LogRecord.ConfigurationChange;

/**
 * The state machine of accepted configurations.
 *
 * <p>Invariants: the version never decreases; a change takes effect only if its base is the version in force, so that
 * one of two racing changes is a conflict; all readers of the same log prefix see the same state. Immutable and
 * thread-safe.
 *
 * @param current The configuration in force.
 * @param lastChangeId The identifier of the change that brought it into force.
 */
public record ConfigurationState(VersionedConfiguration current, String lastChangeId, String lastOperator) {

    /** Returns the state before any change. */
    public static ConfigurationState initial() {
        return new ConfigurationState(VersionedConfiguration.initial(), "", "");
    }

    /**
     * Applies a change that was read from the log.
     *
     * @param offset The offset of its log entry.
     * @return The state and the verdict on the change.
     */
    public Result apply(long offset, ConfigurationChange change) {
        if (change.changeId().equals(lastChangeId)) {
            return new Result(this, Verdict.COPY);
        }
        if (offset <= current.version() || change.baseVersion() != current.version()) {
            return new Result(this, Verdict.CONFLICT);
        }
        if (!ConfigurationValidator.problems(change.configuration()).isEmpty()) {
            return new Result(this, Verdict.INVALID);
        }
        VersionedConfiguration next = new VersionedConfiguration(offset, change.configuration());
        return new Result(new ConfigurationState(next, change.changeId(), change.operator()), Verdict.ACCEPTED);
    }

    /** The verdict on a change. */
    public enum Verdict {
        ACCEPTED,
        COPY,
        /** The base of the change is no longer in force. */
        CONFLICT,
        /** The configuration violates a rule. */
        INVALID
    }

    /**
     * The result of applying a change.
     *
     * @param state The state after the change.
     */
    public record Result(ConfigurationState state, Verdict verdict) {}
}
