package org.cranberrygauge.decision.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cranberrygauge.decision.limit.RateStatement.Limited;

/**
 * The newest statement of each backend server about the rate of requests that it takes.
 *
 * <p>Invariants: of two statements the one that was made later holds; the end of a limit is retained long enough to
 * replace older statements that arrive by way of other hosts. Thread-safe.
 */
public final class StatedLimits {

    /** The time for which the end of a limit is retained. */
    private static final long ENDED_RETENTION_MILLIS = 10_000;

    /** The newest statements by incarnation; servers that never stated a limit have none. */
    private final Map<String, Statement> statements = new HashMap<>();

    /**
     * Records a response of a backend server.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @return The limit that holds from now on if it differs from the one before, else empty.
     */
    public synchronized Optional<Statement> observe(long nowMillis, String incarnation, RateStatement stated) {
        if (stated == RateStatement.Standard.UNREADABLE) {
            return Optional.empty();
        }
        OptionalDouble perSecond =
                stated instanceof Limited limited ? OptionalDouble.of(limited.perSecond()) : OptionalDouble.empty();
        if (perSecond.isEmpty() && !statements.containsKey(incarnation)) {
            return Optional.empty();
        }
        return merge(incarnation, new Statement(perSecond, nowMillis));
    }

    /**
     * Applies a statement that another host received.
     *
     * @return The statement if it changes the limit, else empty.
     */
    public synchronized Optional<Statement> merge(String incarnation, Statement statement) {
        Statement known = statements.get(incarnation);
        if (known != null && known.statedMillis() >= statement.statedMillis()) {
            return Optional.empty();
        }
        statements.put(incarnation, statement);
        OptionalDouble before = known == null ? OptionalDouble.empty() : known.perSecond();
        return before.equals(statement.perSecond()) ? Optional.empty() : Optional.of(statement);
    }

    /** Returns the limit of a backend server in requests per second, or empty if it takes any rate. */
    public synchronized OptionalDouble limit(String incarnation) {
        Statement statement = statements.get(incarnation);
        return statement == null ? OptionalDouble.empty() : statement.perSecond();
    }

    /**
     * Removes the statements of servers that are gone and limits that ended some time ago, and returns the others by
     * incarnation.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param present The incarnations of the servers that are still there.
     */
    public synchronized Map<String, Statement> current(long nowMillis, Set<String> present) {
        statements
                .entrySet()
                .removeIf(entry -> !present.contains(entry.getKey())
                        || (entry.getValue().perSecond().isEmpty()
                                && nowMillis - entry.getValue().statedMillis() > ENDED_RETENTION_MILLIS));
        return Map.copyOf(statements);
    }

    /**
     * A statement of one backend server.
     *
     * @param perSecond The limit in requests per second; empty if the server takes any rate.
     * @param statedMillis The monotonic time at which a host received it, in milliseconds.
     */
    public record Statement(OptionalDouble perSecond, long statedMillis) {}
}
