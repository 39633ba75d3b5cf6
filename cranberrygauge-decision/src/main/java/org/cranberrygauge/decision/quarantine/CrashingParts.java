package org.cranberrygauge.decision.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Knows the parts of prompts, and the whole requests, that crash backend servers, from the crashes and completed
 * requests of all hosts.
 *
 * <p>Hosts exchange what they saw, not what they conclude, so that all come to the same conclusion and revise it with
 * what they learn later. Invariants: the number of retained crashes is bounded; a part that completes is not blocked.
 * Thread-safe; requests read immutable sets without a lock.
 */
public final class CrashingParts {

    /** The time for which crashes are retained that no blamed part accounts for. */
    private static final long UNEXPLAINED_MILLIS = 60_000;

    /** The time for which a part is blocked after its last crash; one more crash within the retention blocks it again. */
    private static final long BLOCK_MILLIS = 120_000;

    /** The time for which crashes are retained that a blamed part accounts for. */
    private static final long RETENTION_MILLIS = 1_800_000;

    /** The age from which crashes are judged, by which the other hosts have told what they saw of them. */
    private static final long SETTLING_MILLIS = 300;

    /** The maximum number of retained crashes; the oldest are evicted. */
    private static final int MAXIMUM_CRASHES = 256;

    /** The maximum number of parts whose completion is retained; the oldest are evicted. */
    private static final int MAXIMUM_COMPLETED = 1_024;

    /** The maximum number of crashes that are shared for one blocked part. */
    private static final int SHARED_CRASHES = 8;

    /** By incarnation of the backend server, the oldest first. */
    private final Map<String, BackendCrash> crashes = new LinkedHashMap<>();

    /**
     * The monotonic time in milliseconds at which a part last completed, the oldest first. Parts that are not suspected
     * are included, since a host may learn of a crash later than of what speaks for them.
     */
    private final Map<Long, Long> completed = new LinkedHashMap<>();

    /** The parts that ran on any crashed server. */
    private volatile Set<Long> suspected = Set.of();

    private volatile Set<Long> blocked = Set.of();

    /** Records a crash that this or another host saw. */
    public synchronized void recordCrash(BackendCrash crash) {
        crashes.merge(crash.incarnation(), crash, BackendCrash::merge);
        while (crashes.size() > MAXIMUM_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        Set<Long> parts = new HashSet<>(suspected);
        parts.addAll(crash.parts().keySet());
        suspected = Set.copyOf(parts);
    }

    /**
     * Records that a request has completed.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param parts The request and the shared parts of its prompt.
     */
    public void recordCompletion(long nowMillis, List<SuspectPart> parts) {
        parts.forEach(part -> recordCompletion(new PartCompletion(part.part(), nowMillis)));
    }

    /** Records a completion that this or another host saw. */
    public synchronized void recordCompletion(PartCompletion completion) {
        Long previous = completed.remove(completion.part());
        long newest = previous == null ? completion.atMillis() : Math.max(previous, completion.atMillis());
        completed.put(completion.part(), newest);
        if (completed.size() > MAXIMUM_COMPLETED) {
            completed.remove(completed.keySet().iterator().next());
        }
    }

    /**
     * Tells whether a request must not be sent to any backend server.
     *
     * @param parts The request and the shared parts of its prompt, which are determined only if any part is blocked.
     */
    public boolean isBlocked(Supplier<List<SuspectPart>> parts) {
        Set<Long> current = blocked;
        return !current.isEmpty() && parts.get().stream().anyMatch(part -> current.contains(part.part()));
    }

    /**
     * Removes what has expired, and judges the remaining crashes.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @return The parts that are blocked from now on.
     */
    public synchronized Set<Long> update(long nowMillis) {
        if (crashes.isEmpty()) {
            return Set.of();
        }
        List<BackendCrash> settled = crashes.values().stream()
                .filter(crash -> nowMillis - crash.atMillis() >= SETTLING_MILLIS)
                .toList();
        Map<Long, Long> blamed = CrashAttribution.attribute(settled, completed);
        crashes.values().removeIf(crash -> isExpired(nowMillis, crash, blamed.keySet()));
        Set<Long> parts = new HashSet<>();
        crashes.values().forEach(crash -> parts.addAll(crash.parts().keySet()));
        suspected = Set.copyOf(parts);
        Set<Long> active = new HashSet<>();
        blamed.forEach((part, lastMillis) -> {
            if (nowMillis - lastMillis <= BLOCK_MILLIS) {
                active.add(part);
            }
        });
        blocked = Set.copyOf(active);
        return blocked;
    }

    /**
     * Returns the crashes up to an age, the newest first.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param limit The maximum number of crashes.
     */
    public synchronized List<BackendCrash> recentCrashes(long nowMillis, long maximumAgeMillis, int limit) {
        return crashes.values().stream()
                .filter(crash -> nowMillis - crash.atMillis() <= maximumAgeMillis)
                .sorted(Comparator.comparingLong(BackendCrash::atMillis).reversed())
                .limit(limit)
                .toList();
    }

    /**
     * Returns the completions of suspected parts up to an age.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized List<PartCompletion> recentCompletions(long nowMillis, long maximumAgeMillis) {
        List<PartCompletion> recent = new ArrayList<>();
        completed.forEach((part, atMillis) -> {
            if (nowMillis - atMillis <= maximumAgeMillis && suspected.contains(part)) {
                recent.add(new PartCompletion(part, atMillis));
            }
        });
        return recent;
    }

    /** Returns crashes from which a host that knows none comes to block the same parts. */
    public synchronized List<BackendCrash> crashesOfBlockedParts() {
        List<BackendCrash> shared = new ArrayList<>();
        for (long part : blocked) {
            crashes.values().stream()
                    .filter(crash -> crash.parts().containsKey(part))
                    .sorted(Comparator.comparingLong(BackendCrash::atMillis).reversed())
                    .limit(SHARED_CRASHES)
                    .map(crash -> crash.withOnly(part))
                    .forEach(shared::add);
        }
        return shared;
    }

    private static boolean isExpired(long nowMillis, BackendCrash crash, Collection<Long> blamed) {
        boolean explained = crash.parts().keySet().stream().anyMatch(blamed::contains);
        return nowMillis - crash.atMillis() > (explained ? RETENTION_MILLIS : UNEXPLAINED_MILLIS);
    }

    /**
     * The last time at which a request with a part completed.
     *
     * @param part The hash of the part's identifier.
     * @param atMillis The monotonic time in milliseconds, on the clock of this process.
     */
    public record PartCompletion(long part, long atMillis) {}
}
