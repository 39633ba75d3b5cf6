package org.cranberrygauge.decision.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cranberrygauge.decision.backend.Availability.Kind;
import org.cranberrygauge.decision.backend.BackendNotice.LeavingStated;
import org.cranberrygauge.decision.backend.BackendNotice.LimitChanged;
import org.cranberrygauge.decision.backend.BackendNotice.PauseStated;
import org.cranberrygauge.decision.backend.BackendNotice.StatementMalformed;
import org.cranberrygauge.decision.backend.RateStatement.Limited;

/**
 * What each incarnation of a backend server has stated of itself.
 *
 * <p>Invariants: of two limits the one that was stated later holds; an incarnation that has stated that it leaves never
 * comes back, whatever it states later; a pause is never shortened. What is known of a server survives a temporary loss
 * of its entry. Thread-safe.
 */
public final class BackendStatements {

    /** The time for which the end of a limit is retained, so that it replaces older statements of other hosts. */
    private static final long ENDED_RETENTION_MILLIS = 10_000;

    /** The time for which statements of a server without an entry are retained. */
    private static final long UNLISTED_RETENTION_MILLIS = 60_000;

    /** The longest pause that is honoured, in milliseconds. */
    private static final long MAXIMUM_PAUSE_MILLIS = 3_600_000;

    private final Map<String, Known> known = new HashMap<>();

    /**
     * Records a response of a backend server.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @return The changes of what is known.
     */
    public synchronized List<BackendNotice> observe(long nowMillis, String incarnation, BackendStatement stated) {
        if (stated.equals(BackendStatement.NONE) && !known.containsKey(incarnation)) {
            return List.of();
        }
        Known server = known(nowMillis, incarnation);
        List<BackendNotice> notices = new ArrayList<>();
        limit(nowMillis, server, stated.rate()).flatMap(server::changeLimit).ifPresent(notices::add);
        if (stated.leaving() && server.changeLeaving()) {
            notices.add(new LeavingStated());
        }
        if (stated.pauseMillis().isPresent()) {
            long pauseMillis =
                    Math.min(MAXIMUM_PAUSE_MILLIS, stated.pauseMillis().getAsLong());
            server.extendPause(nowMillis, nowMillis + pauseMillis).ifPresent(notices::add);
        }
        if (stated.malformed() && !server.malformed) {
            server.malformed = true;
            notices.add(new StatementMalformed());
        }
        return notices;
    }

    /**
     * Applies what another host knows of a server.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @return The changes of what is known.
     */
    public synchronized List<BackendNotice> merge(long nowMillis, String incarnation, Shared shared) {
        Known server = known(nowMillis, incarnation);
        List<BackendNotice> notices = new ArrayList<>();
        shared.limit().flatMap(server::changeLimit).ifPresent(notices::add);
        if (shared.leaving() && server.changeLeaving()) {
            notices.add(new LeavingStated());
        }
        return notices;
    }

    /**
     * Tells whether a request may be sent to a server; a limit is answered with {@link Kind#NEEDS_PERMIT}.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized Availability availability(long nowMillis, String incarnation) {
        Known server = known.get(incarnation);
        if (server == null) {
            return new Availability(Kind.OPEN, nowMillis);
        }
        if (server.leaving) {
            return new Availability(Kind.LEAVING, Long.MAX_VALUE);
        }
        long fromMillis = server.slowStart.fromMillis(nowMillis);
        if (fromMillis > nowMillis) {
            return new Availability(Kind.PAUSED, fromMillis);
        }
        return new Availability(server.perSecond().isPresent() ? Kind.NEEDS_PERMIT : Kind.OPEN, nowMillis);
    }

    /** Records that a request is sent to a server. */
    public synchronized void recordSent(String incarnation) {
        Known server = known.get(incarnation);
        if (server != null) {
            server.slowStart.recordSent();
        }
    }

    /** Returns the limit of a backend server in requests per second, or empty if it takes any rate. */
    public synchronized OptionalDouble limit(String incarnation) {
        Known server = known.get(incarnation);
        return server == null ? OptionalDouble.empty() : server.perSecond();
    }

    /** Tells whether a server has stated that it leaves. */
    public synchronized boolean isLeaving(String incarnation) {
        Known server = known.get(incarnation);
        return server != null && server.leaving;
    }

    /**
     * Removes what is known of servers that have been gone for a while, and returns by incarnation what other hosts
     * should know of the listed ones; if gone ones were told, hosts would remind each other of them for ever.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param listed The incarnations of the servers that have an entry.
     */
    public synchronized Map<String, Shared> shared(long nowMillis, Set<String> listed) {
        listed.stream()
                .map(known::get)
                .filter(server -> server != null)
                .forEach(server -> server.lastListedMillis = nowMillis);
        known.values().removeIf(server -> nowMillis - server.lastListedMillis > UNLISTED_RETENTION_MILLIS);
        Map<String, Shared> shared = new HashMap<>();
        known.forEach((incarnation, server) -> {
            Optional<Limit> limit = Optional.ofNullable(server.limit)
                    .filter(stated -> stated.perSecond().isPresent()
                            || nowMillis - stated.statedMillis() <= ENDED_RETENTION_MILLIS);
            if (listed.contains(incarnation) && (limit.isPresent() || server.leaving)) {
                shared.put(incarnation, new Shared(limit, server.leaving));
            }
        });
        return shared;
    }

    private Known known(long nowMillis, String incarnation) {
        return known.computeIfAbsent(incarnation, name -> new Known(nowMillis));
    }

    /** Returns the limit that a response states, or empty if it says nothing new of one. */
    private static Optional<Limit> limit(long nowMillis, Known server, RateStatement rate) {
        if (rate instanceof Limited limited) {
            return Optional.of(new Limit(OptionalDouble.of(limited.perSecond()), nowMillis));
        }
        return rate == RateStatement.Standard.UNLIMITED && server.limit != null
                ? Optional.of(new Limit(OptionalDouble.empty(), nowMillis))
                : Optional.empty();
    }

    /**
     * A limit that a server stated.
     *
     * @param perSecond The requests per second; empty if the server takes any rate.
     * @param statedMillis The monotonic time at which a host received it, in milliseconds.
     */
    public record Limit(OptionalDouble perSecond, long statedMillis) {}

    /**
     * What hosts tell each other of a server; a pause is not among it, since it concerns one host.
     *
     * @param limit The newest limit, if the server ever stated one.
     * @param leaving Whether the server leaves.
     */
    public record Shared(Optional<Limit> limit, boolean leaving) {}

    /** What is known of one incarnation. */
    private static final class Known {

        private final SlowStart slowStart = new SlowStart();

        /** Null if the server never stated a limit. */
        private Limit limit;

        private boolean leaving;

        private boolean malformed;

        /** The monotonic time at which the server had an entry. */
        private long lastListedMillis;

        Known(long nowMillis) {
            lastListedMillis = nowMillis;
        }

        OptionalDouble perSecond() {
            return limit == null ? OptionalDouble.empty() : limit.perSecond();
        }

        Optional<BackendNotice> changeLimit(Limit stated) {
            if (limit != null && limit.statedMillis() >= stated.statedMillis()) {
                return Optional.empty();
            }
            OptionalDouble before = perSecond();
            limit = stated;
            return before.equals(stated.perSecond())
                    ? Optional.empty()
                    : Optional.of(new LimitChanged(stated.perSecond()));
        }

        boolean changeLeaving() {
            boolean changed = !leaving;
            leaving = true;
            return changed;
        }

        Optional<BackendNotice> extendPause(long nowMillis, long untilMillis) {
            boolean paused = slowStart.fromMillis(nowMillis) > nowMillis;
            if (!slowStart.extendPause(untilMillis) || paused) {
                return Optional.empty();
            }
            return Optional.of(new PauseStated(untilMillis));
        }
    }
}
