package org.cranberrygauge.decision.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one gateway saw of suspected requests, on the monotonic clock of this process.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param heardAtMillis The time at which it was told in milliseconds.
 * @param crashes The crashes by request.
 * @param cleared The time of the last completed run by request.
 * @param running The backend server of each run of a suspect.
 */
record CrashHistory(
        long heardAtMillis,
        Map<RequestFingerprint, List<CrashRecord>> crashes,
        Map<RequestFingerprint, Long> cleared,
        Map<RunId, String> running) {

    /** Nothing is known. */
    static final CrashHistory NONE = new CrashHistory(0, Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    CrashHistory {
        crashes = Map.copyOf(crashes);
        cleared = Map.copyOf(cleared);
        running = Map.copyOf(running);
    }

    /**
     * Turns what a peer told into times of this process.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param observations What the peer told.
     * @return The knowledge.
     */
    static CrashHistory of(long nowMillis, Collection<QuarantineObservation> observations) {
        Map<RequestFingerprint, List<CrashRecord>> crashes = new HashMap<>();
        Map<RequestFingerprint, Long> cleared = new HashMap<>();
        Map<RunId, String> running = new HashMap<>();
        for (QuarantineObservation observation : observations) {
            if (observation instanceof QuarantineObservation.Crashed crashed) {
                long crashedAtMillis = nowMillis - crashed.ageMillis();
                CrashRecord record =
                        new CrashRecord(crashed.server(), crashedAtMillis - crashed.runMillis(), crashedAtMillis);
                crashes.merge(crashed.fingerprint(), List.of(record), CrashHistory::joined);
            } else if (observation instanceof QuarantineObservation.Cleared done) {
                cleared.put(done.fingerprint(), nowMillis - done.ageMillis());
            } else if (observation instanceof QuarantineObservation.Running run) {
                running.put(new RunId(run.fingerprint(), run.server()), run.server());
            }
        }
        return new CrashHistory(nowMillis, crashes, cleared, running);
    }

    /**
     * Replaces the crashes.
     *
     * @param replacement The new crashes.
     * @return The refined knowledge.
     */
    CrashHistory withCrashes(Map<RequestFingerprint, List<CrashRecord>> replacement) {
        return new CrashHistory(heardAtMillis, replacement, cleared, running);
    }

    /**
     * Replaces the completed runs.
     *
     * @param replacement The new completed runs.
     * @return The refined knowledge.
     */
    CrashHistory withCleared(Map<RequestFingerprint, Long> replacement) {
        return new CrashHistory(heardAtMillis, crashes, replacement, running);
    }

    /**
     * Replaces the runs.
     *
     * @param replacement The new runs.
     * @return The refined knowledge.
     */
    CrashHistory withRunning(Map<RunId, String> replacement) {
        return new CrashHistory(heardAtMillis, crashes, cleared, replacement);
    }

    /**
     * Drops what happened before a time.
     *
     * @param fromMillis The time in milliseconds.
     * @return The refined knowledge.
     */
    CrashHistory after(long fromMillis) {
        Map<RequestFingerprint, List<CrashRecord>> keptCrashes = new HashMap<>();
        crashes.forEach((fingerprint, records) -> {
            List<CrashRecord> kept = records.stream()
                    .filter(record -> record.crashedAtMillis() > fromMillis)
                    .toList();
            if (!kept.isEmpty()) {
                keptCrashes.put(fingerprint, kept);
            }
        });
        Map<RequestFingerprint, Long> keptCleared = new HashMap<>(cleared);
        keptCleared.values().removeIf(atMillis -> atMillis <= fromMillis);
        return new CrashHistory(heardAtMillis, keptCrashes, keptCleared, running);
    }

    /**
     * Tells whether nothing is known.
     *
     * @return Whether it is empty.
     */
    boolean isEmpty() {
        return crashes.isEmpty() && cleared.isEmpty() && running.isEmpty();
    }

    /**
     * Joins two lists.
     *
     * @param first The first list.
     * @param second The second list.
     * @return Both.
     */
    private static List<CrashRecord> joined(List<CrashRecord> first, List<CrashRecord> second) {
        List<CrashRecord> both = new ArrayList<>(first);
        both.addAll(second);
        return List.copyOf(both);
    }
}
