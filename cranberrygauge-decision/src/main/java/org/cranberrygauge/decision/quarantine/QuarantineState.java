package org.cranberrygauge.decision.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The suspected requests, derived from the crashes that this gateway and its peers observed.
 *
 * <p>Invariants: a request is quarantined only after successive crashes in which each run started after the previous
 * crash, so that concurrent copies of a request are blamed only once; where suspects of several gateways ran on the
 * server that crashed last, one more crash is required, because only one of them is to blame; a request that ran on
 * only one of several backend servers that crashed together is not blamed, because a request runs on one server at a
 * time; a completed run clears all earlier crashes; a suspect that is not quarantined is forgotten after the retention
 * time. Immutable and thread-safe.
 */
public final class QuarantineState {

    private final QuarantineLimits limits;

    /** The observations of this gateway. */
    private final CrashHistory own;

    /** The last observations of each peer by incarnation. */
    private final Map<String, CrashHistory> peers;

    /** The conclusion for each suspected request. */
    private final Map<RequestFingerprint, Suspicion> suspicions;

    private QuarantineState(QuarantineLimits limits, CrashHistory own, Map<String, CrashHistory> peers) {
        this.limits = limits;
        this.own = own;
        this.peers = Map.copyOf(peers);
        this.suspicions = suspicions();
    }

    public static QuarantineState initial(QuarantineLimits limits) {
        return new QuarantineState(limits, CrashHistory.NONE, Map.of());
    }

    /** Returns the restrictions on a request that follow from its past crashes. */
    public QuarantineStatus status(long nowMillis, RequestFingerprint fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null || nowMillis - suspicion.lastMillis() >= limits.retentionMillis()) {
            return QuarantineStatus.Clear.INSTANCE;
        }
        long remainingMillis = suspicion.lastMillis() + limits.quarantineMillis() - nowMillis;
        if (suspicion.crashes() >= limits.crashes() && remainingMillis > 0) {
            return new QuarantineStatus.Quarantined(remainingMillis);
        }
        return QuarantineStatus.Suspect.INSTANCE;
    }

    /**
     * Returns whether a request may start on a backend server.
     *
     * @param healthyServers The number of healthy backend servers of its target.
     */
    public boolean mayStart(long nowMillis, RequestFingerprint fingerprint, String server, int healthyServers) {
        QuarantineStatus status = status(nowMillis, fingerprint);
        if (status == QuarantineStatus.Clear.INSTANCE) {
            return true;
        }
        if (status instanceof QuarantineStatus.Quarantined || healthyServers < 2) {
            return false;
        }
        boolean ownSuspectThere = own.running().containsValue(server);
        return !ownSuspectThere
                && peers.values().stream()
                        .filter(peer -> nowMillis - peer.receivedAtMillis() <= limits.peerRunTimeoutMillis())
                        .noneMatch(peer -> peer.running().containsValue(server));
    }

    /** Records the start of a run. Only runs of suspects need to be recorded. */
    public QuarantineState withRun(RunId runId, String server) {
        Map<RunId, String> running = new HashMap<>(own.running());
        running.put(runId, server);
        return new QuarantineState(limits, own.withRunning(running), peers);
    }

    /**
     * Records the end of a run.
     *
     * @return The new state, or this one if the run is unknown.
     */
    public QuarantineState withoutRun(RunId runId) {
        if (!own.running().containsKey(runId)) {
            return this;
        }
        Map<RunId, String> running = new HashMap<>(own.running());
        running.remove(runId);
        return new QuarantineState(limits, own.withRunning(running), peers);
    }

    /**
     * Records the crash of a backend server during the run of a request.
     *
     * @param startedAtMillis The monotonic time at which the run started, in milliseconds.
     */
    public QuarantineState withCrash(
            long nowMillis, RequestFingerprint fingerprint, String server, long startedAtMillis) {
        Map<RequestFingerprint, List<CrashRecord>> crashes = new HashMap<>(own.crashes());
        List<CrashRecord> records = new ArrayList<>(crashes.getOrDefault(fingerprint, List.of()));
        records.add(new CrashRecord(server, startedAtMillis, nowMillis));
        crashes.put(fingerprint, List.copyOf(records));
        return new QuarantineState(limits, own.withCrashes(crashes), peers).withoutExpired(nowMillis);
    }

    /**
     * Records the completion of a request, which clears earlier crashes.
     *
     * @return The new state, or this one if the request was not suspected.
     */
    public QuarantineState withCompletion(long nowMillis, RequestFingerprint fingerprint) {
        if (!suspicions.containsKey(fingerprint) && !own.crashes().containsKey(fingerprint)) {
            return this;
        }
        Map<RequestFingerprint, Long> cleared = new HashMap<>(own.cleared());
        cleared.put(fingerprint, nowMillis);
        return new QuarantineState(limits, own.withCleared(cleared), peers).withoutExpired(nowMillis);
    }

    /** Replaces the observations of a peer. */
    public QuarantineState withPeer(long nowMillis, String peer, Collection<QuarantineObservation> observations) {
        if (observations.isEmpty() && !peers.containsKey(peer)) {
            return this;
        }
        Map<String, CrashHistory> replacement = new HashMap<>(peers);
        replacement.put(peer, CrashHistory.of(nowMillis, observations));
        return new QuarantineState(limits, own, replacement).withoutExpired(nowMillis);
    }

    /** Returns the observations to report to peers: those of this gateway only. */
    public List<QuarantineObservation> observations(long nowMillis) {
        List<QuarantineObservation> observations = new ArrayList<>();
        own.crashes()
                .forEach((fingerprint, records) ->
                        records.forEach(record -> observations.add(new QuarantineObservation.Crashed(
                                fingerprint,
                                record.server(),
                                record.crashedAtMillis() - record.startedAtMillis(),
                                nowMillis - record.crashedAtMillis()))));
        own.cleared()
                .forEach((fingerprint, atMillis) ->
                        observations.add(new QuarantineObservation.Cleared(fingerprint, nowMillis - atMillis)));
        own.running()
                .forEach((runId, server) ->
                        observations.add(new QuarantineObservation.Running(runId.fingerprint(), server)));
        return observations;
    }

    /** Removes observations that are older than the retention time. */
    private QuarantineState withoutExpired(long nowMillis) {
        long fromMillis = nowMillis - limits.retentionMillis();
        Map<String, CrashHistory> remaining = new HashMap<>();
        peers.forEach((name, peer) -> {
            CrashHistory kept = peer.since(fromMillis);
            if (!kept.isEmpty() || nowMillis - peer.receivedAtMillis() <= limits.peerRunTimeoutMillis()) {
                remaining.put(name, kept);
            }
        });
        return new QuarantineState(limits, own.since(fromMillis), remaining);
    }

    /** Computes the conclusion for each suspected request. */
    private Map<RequestFingerprint, Suspicion> suspicions() {
        Map<RequestFingerprint, List<CrashRecord>> open = unclearedCrashes();
        if (open.isEmpty()) {
            return Map.of();
        }
        List<CrashRecord> all = open.values().stream().flatMap(List::stream).toList();
        Map<RequestFingerprint, List<CrashRecord>> crashChains = new HashMap<>();
        open.forEach((fingerprint, records) -> {
            List<CrashRecord> blamed = records.stream()
                    .filter(record -> !hasCommonCause(record, records, all))
                    .toList();
            if (!blamed.isEmpty()) {
                crashChains.put(fingerprint, successiveCrashes(blamed));
            }
        });
        Map<RequestFingerprint, Suspicion> computed = new HashMap<>();
        crashChains.forEach((fingerprint, successiveCrashes) -> {
            int crashes =
                    sharesLastCrash(fingerprint, crashChains) ? successiveCrashes.size() - 1 : successiveCrashes.size();
            computed.put(
                    fingerprint, new Suspicion(crashes, last(successiveCrashes).crashedAtMillis()));
        });
        return Map.copyOf(computed);
    }

    /**
     * Returns whether another request that was suspected before also ran on the server that crashed last.
     *
     * @param crashChains The successive crashes by request.
     */
    private boolean sharesLastCrash(
            RequestFingerprint fingerprint, Map<RequestFingerprint, List<CrashRecord>> crashChains) {
        List<CrashRecord> successiveCrashes = crashChains.get(fingerprint);
        CrashRecord crash = last(successiveCrashes);
        return successiveCrashes.size() > 1
                && crashChains.entrySet().stream()
                        .filter(other -> !other.getKey().equals(fingerprint))
                        .flatMap(other -> other.getValue().stream().skip(1))
                        .anyMatch(other -> other.server().equals(crash.server()) && isSimultaneous(other, crash));
    }

    /** Collects the crashes of each request that were not cleared by a completed run. */
    private Map<RequestFingerprint, List<CrashRecord>> unclearedCrashes() {
        List<CrashHistory> sources = new ArrayList<>(peers.values());
        sources.add(own);
        Map<RequestFingerprint, Long> cleared = new HashMap<>();
        sources.forEach(source -> source.cleared().forEach((name, at) -> cleared.merge(name, at, Math::max)));
        Map<RequestFingerprint, List<CrashRecord>> open = new HashMap<>();
        for (CrashHistory source : sources) {
            source.crashes().forEach((fingerprint, records) -> {
                long clearedAtMillis = cleared.getOrDefault(fingerprint, Long.MIN_VALUE);
                for (CrashRecord record : records) {
                    if (record.crashedAtMillis() > clearedAtMillis) {
                        open.computeIfAbsent(fingerprint, name -> new ArrayList<>())
                                .add(record);
                    }
                }
            });
        }
        return open;
    }

    /** Returns whether a crash was one of many simultaneous ones that the request cannot have caused. */
    private boolean hasCommonCause(CrashRecord record, List<CrashRecord> ownRecords, List<CrashRecord> all) {
        Set<String> servers = new HashSet<>();
        all.stream().filter(other -> isSimultaneous(record, other)).forEach(other -> servers.add(other.server()));
        if (servers.size() < limits.commonCauseServers()) {
            return false;
        }
        List<CrashRecord> there = ownRecords.stream()
                .filter(other -> isSimultaneous(record, other))
                .toList();
        return successiveCrashes(there).size() == 1;
    }

    private boolean isSimultaneous(CrashRecord one, CrashRecord other) {
        return Math.abs(one.crashedAtMillis() - other.crashedAtMillis()) <= limits.commonCauseWindowMillis();
    }

    /**
     * Selects the crashes in which each run started after the previous crash.
     *
     * @return The selected crashes, oldest first.
     */
    private static List<CrashRecord> successiveCrashes(List<CrashRecord> records) {
        List<CrashRecord> sorted = new ArrayList<>(records);
        sorted.sort(Comparator.comparingLong(CrashRecord::crashedAtMillis));
        List<CrashRecord> successiveCrashes = new ArrayList<>();
        for (CrashRecord record : sorted) {
            if (successiveCrashes.isEmpty() || record.startedAfter(last(successiveCrashes))) {
                successiveCrashes.add(record);
            }
        }
        return successiveCrashes;
    }

    private static CrashRecord last(List<CrashRecord> successiveCrashes) {
        return successiveCrashes.get(successiveCrashes.size() - 1);
    }

    /**
     * The conclusion for a suspected request.
     *
     * @param crashes The number of successive crashes.
     * @param lastMillis The monotonic time of the last crash in milliseconds.
     */
    private record Suspicion(int crashes, long lastMillis) {}
}
