package org.cranberrygauge.decision.configuration;

import org.cranberrygauge.model.configuration.VersionedConfiguration;
import org.cranberrygauge.model.record.LogRecord.ConfigurationChange;

/**
 * The state machine of accepted configurations.
 *
 * <p>Invariants: the version never falls; a change takes effect only if its base is the version in force, so that of two
 * racing changes one is a conflict; the same log prefix gives the same state in every reader. Immutable and safe for use
 * by several threads.
 *
 * @param current The configuration in force.
 * @param lastChangeId The identifier of the change that brought it into force.
 * @param lastOperator The operator of that change.
 */
public record ConfigurationState(VersionedConfiguration current, String lastChangeId, String lastOperator) {

    /**
     * Returns the state before any change.
     *
     * @return The initial state.
     */
    public static ConfigurationState initial() {
        return new ConfigurationState(VersionedConfiguration.initial(), "", "");
    }

    /**
     * Applies a change that was read from the log.
     *
     * @param offset The offset of its log entry.
     * @param change The change.
     * @return The state and what became of the change.
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

    /** What became of a change. */
    public enum Verdict {
        /** The change is in force. */
        ACCEPTED,
        /** The change is a copy of the one in force. */
        COPY,
        /** The base of the change is no longer in force. */
        CONFLICT,
        /** The configuration fails its checks. */
        INVALID
    }

    /**
     * The result of applying a change.
     *
     * @param machine The state after the change.
     * @param verdict What became of the change.
     */
    public record Result(ConfigurationState machine, Verdict verdict) {}
}
