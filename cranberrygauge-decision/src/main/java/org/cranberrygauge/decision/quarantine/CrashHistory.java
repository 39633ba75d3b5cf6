package org.cranberrygauge.decision.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The crashes, completions and runs of suspected requests that one gateway observed, on the monotonic clock of this
 * process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param receivedAtMillis The time at which the observations were received, in milliseconds.
 * @param cleared The time of the last completed run by request, in milliseconds.
 * @param running The backend server of each running suspect.
 */
record CrashHistory(
        long receivedAtMillis,
        Map<RequestFingerprint, List<CrashRecord>> crashes,
        Map<RequestFingerprint, Long> cleared,
        Map<RunId, String> running) {

    /** The history without any observation. */
    static final CrashHistory NONE = new CrashHistory(0, Map.of(), Map.of(), Map.of());

    CrashHistory {
        crashes = Map.copyOf(crashes);
        cleared = Map.copyOf(cleared);
        running = Map.copyOf(running);
    }

    /** Converts the observations of a peer, whose times are ages, to times of this process. */
    static CrashHistory of(long nowMillis, Collection<QuarantineObservation> observations) {
        Map<RequestFingerprint, List<CrashRecord>> crashes = new HashMap<>();
        Map<RequestFingerprint, Long> cleared = new HashMap<>();
        Map<RunId, String> running = new HashMap<>();
        for (QuarantineObservation observation : observations) {
            if (observation instanceof QuarantineObservation.Crashed crashed) {
                long crashedAtMillis = nowMillis - crashed.ageMillis();
                CrashRecord record =
                        new CrashRecord(crashed.server(), crashedAtMillis - crashed.runMillis(), crashedAtMillis);
                crashes.merge(crashed.fingerprint(), List.of(record), CrashHistory::concatenate);
            } else if (observation instanceof QuarantineObservation.Cleared done) {
                cleared.put(done.fingerprint(), nowMillis - done.ageMillis());
            } else if (observation instanceof QuarantineObservation.Running run) {
                running.put(new RunId(run.fingerprint(), run.server()), run.server());
            }
        }
        return new CrashHistory(nowMillis, crashes, cleared, running);
    }

    CrashHistory withCrashes(Map<RequestFingerprint, List<CrashRecord>> replacement) {
        return new CrashHistory(receivedAtMillis, replacement, cleared, running);
    }

    CrashHistory withCleared(Map<RequestFingerprint, Long> replacement) {
        return new CrashHistory(receivedAtMillis, crashes, replacement, running);
    }

    CrashHistory withRunning(Map<RunId, String> replacement) {
        return new CrashHistory(receivedAtMillis, crashes, cleared, replacement);
    }

    /** Returns a copy without the crashes and completions up to a time. Runs are kept. */
    CrashHistory since(long fromMillis) {
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
        return new CrashHistory(receivedAtMillis, keptCrashes, keptCleared, running);
    }

    boolean isEmpty() {
        return crashes.isEmpty() && cleared.isEmpty() && running.isEmpty();
    }

    private static List<CrashRecord> concatenate(List<CrashRecord> first, List<CrashRecord> second) {
        List<CrashRecord> both = new ArrayList<>(first);
        both.addAll(second);
        return List.copyOf(both);
    }
}
