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
 * What one gateway knows of requests that ran where a backend server crashed.
 *
 * <p>Invariants: a request is held in quarantine only after crashes of which each run started after the crash before it,
 * so that copies of a request that run side by side are blamed once; where suspects of several gateways met on the server
 * that crashed last, one crash more is needed, since only one of them is to blame; crashes of several backend servers together are
 * blamed on no request that ran on one of them only, since a request runs on one server at a time; a completed run clears
 * all crashes before it; what is not held is forgotten after the memory. Immutable and safe for use by several threads.
 */
public final class QuarantineState {

    /** The limits. */
    private final QuarantineLimits limits;

    /** What this gateway saw itself. */
    private final CrashHistory own;

    /** What each peer told last, by incarnation. */
    private final Map<String, CrashHistory> peers;

    /** What follows for each suspected request. */
    private final Map<RequestFingerprint, Verdict> verdicts;

    /**
     * Creates a state.
     *
     * @param limits The limits.
     * @param own What this gateway saw itself.
     * @param peers What each peer told last.
     */
    private QuarantineState(QuarantineLimits limits, CrashHistory own, Map<String, CrashHistory> peers) {
        this.limits = limits;
        this.own = own;
        this.peers = Map.copyOf(peers);
        this.verdicts = verdicts();
    }

    /**
     * Returns the state before any crash.
     *
     * @param limits The limits.
     * @return The initial state.
     */
    public static QuarantineState initial(QuarantineLimits limits) {
        return new QuarantineState(limits, CrashHistory.NONE, Map.of());
    }

    /**
     * Tells what a request may do.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The request.
     * @return Its standing.
     */
    public QuarantineStatus standing(long nowMillis, RequestFingerprint fingerprint) {
        Verdict verdict = verdicts.get(fingerprint);
        if (verdict == null || nowMillis - verdict.lastMillis() >= limits.memoryMillis()) {
            return QuarantineStatus.Clear.INSTANCE;
        }
        long remainingMillis = verdict.lastMillis() + limits.quarantineMillis() - nowMillis;
        if (verdict.crashes() >= limits.crashes() && remainingMillis > 0) {
            return new QuarantineStatus.Quarantined(remainingMillis);
        }
        return QuarantineStatus.Suspect.INSTANCE;
    }

    /**
     * Tells whether a request may start on a backend server.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The request.
     * @param server The name of the backend server.
     * @param healthyServers The number of healthy backend servers of its target.
     * @return Whether it may.
     */
    public boolean mayStart(long nowMillis, RequestFingerprint fingerprint, String server, int healthyServers) {
        QuarantineStatus standing = standing(nowMillis, fingerprint);
        if (standing == QuarantineStatus.Clear.INSTANCE) {
            return true;
        }
        if (standing instanceof QuarantineStatus.Quarantined || healthyServers < 2) {
            return false;
        }
        boolean ownSuspectThere = own.running().containsValue(server);
        return !ownSuspectThere
                && peers.values().stream()
                        .filter(peer -> nowMillis - peer.heardAtMillis() <= limits.peerRunMillis())
                        .noneMatch(peer -> peer.running().containsValue(server));
    }

    /**
     * Notes the start of a run; only those of suspects matter.
     *
     * @param runId The identifier of the run in this gateway.
     * @param server The name of the backend server.
     * @return The refined state.
     */
    public QuarantineState withRun(RunId runId, String server) {
        Map<RunId, String> running = new HashMap<>(own.running());
        running.put(runId, server);
        return new QuarantineState(limits, own.withRunning(running), peers);
    }

    /**
     * Notes the end of a run.
     *
     * @param runId The identifier of the run in this gateway.
     * @return The refined state; this one if the run is not known.
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
     * Notes the crash of a backend server during the run of a request.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The request.
     * @param server The name of the backend server.
     * @param startedAtMillis The time at which the run started.
     * @return The refined state.
     */
    public QuarantineState withCrash(
            long nowMillis, RequestFingerprint fingerprint, String server, long startedAtMillis) {
        Map<RequestFingerprint, List<CrashRecord>> crashes = new HashMap<>(own.crashes());
        List<CrashRecord> records = new ArrayList<>(crashes.getOrDefault(fingerprint, List.of()));
        records.add(new CrashRecord(server, startedAtMillis, nowMillis));
        crashes.put(fingerprint, List.copyOf(records));
        return new QuarantineState(limits, own.withCrashes(crashes), peers).withoutForgotten(nowMillis);
    }

    /**
     * Notes that a request was completed, which clears it.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The request.
     * @return The refined state; this one if the request was not suspected.
     */
    public QuarantineState withCompletion(long nowMillis, RequestFingerprint fingerprint) {
        if (!verdicts.containsKey(fingerprint) && !own.crashes().containsKey(fingerprint)) {
            return this;
        }
        Map<RequestFingerprint, Long> cleared = new HashMap<>(own.cleared());
        cleared.put(fingerprint, nowMillis);
        return new QuarantineState(limits, own.withCleared(cleared), peers).withoutForgotten(nowMillis);
    }

    /**
     * Takes in what a peer told.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param peer The incarnation of the peer.
     * @param observations What it told.
     * @return The refined state.
     */
    public QuarantineState withPeer(long nowMillis, String peer, Collection<QuarantineObservation> observations) {
        if (observations.isEmpty() && !peers.containsKey(peer)) {
            return this;
        }
        Map<String, CrashHistory> replacement = new HashMap<>(peers);
        replacement.put(peer, CrashHistory.of(nowMillis, observations));
        return new QuarantineState(limits, own, replacement).withoutForgotten(nowMillis);
    }

    /**
     * Lists what this gateway tells its peers: what it saw itself.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The observations.
     */
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

    /**
     * Drops what is older than the memory.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The refined state.
     */
    private QuarantineState withoutForgotten(long nowMillis) {
        long fromMillis = nowMillis - limits.memoryMillis();
        Map<String, CrashHistory> remaining = new HashMap<>();
        peers.forEach((name, peer) -> {
            CrashHistory kept = peer.after(fromMillis);
            if (!kept.isEmpty() || nowMillis - peer.heardAtMillis() <= limits.peerRunMillis()) {
                remaining.put(name, kept);
            }
        });
        return new QuarantineState(limits, own.after(fromMillis), remaining);
    }

    /**
     * Computes what follows for each suspected request.
     *
     * @return The verdicts.
     */
    private Map<RequestFingerprint, Verdict> verdicts() {
        Map<RequestFingerprint, List<CrashRecord>> open = openCrashes();
        if (open.isEmpty()) {
            return Map.of();
        }
        List<CrashRecord> all = open.values().stream().flatMap(List::stream).toList();
        Map<RequestFingerprint, List<CrashRecord>> chains = new HashMap<>();
        open.forEach((fingerprint, records) -> {
            List<CrashRecord> blamed = records.stream()
                    .filter(record -> !hasCommonCause(record, records, all))
                    .toList();
            if (!blamed.isEmpty()) {
                chains.put(fingerprint, chain(blamed));
            }
        });
        Map<RequestFingerprint, Verdict> computed = new HashMap<>();
        chains.forEach((fingerprint, chain) -> {
            int crashes = sharesItsLastCrash(fingerprint, chains) ? chain.size() - 1 : chain.size();
            computed.put(fingerprint, new Verdict(crashes, last(chain).crashedAtMillis()));
        });
        return Map.copyOf(computed);
    }

    /**
     * Tells whether another request that was suspected before ran on the server that crashed last.
     *
     * @param fingerprint The request.
     * @param chains The crashes by request, one after another.
     * @return Whether the blame is shared.
     */
    private boolean sharesItsLastCrash(
            RequestFingerprint fingerprint, Map<RequestFingerprint, List<CrashRecord>> chains) {
        List<CrashRecord> chain = chains.get(fingerprint);
        CrashRecord crash = last(chain);
        return chain.size() > 1
                && chains.entrySet().stream()
                        .filter(other -> !other.getKey().equals(fingerprint))
                        .flatMap(other -> other.getValue().stream().skip(1))
                        .anyMatch(other -> other.server().equals(crash.server()) && isTogether(other, crash));
    }

    /**
     * Collects the crashes of each request that no completed run cleared.
     *
     * @return The crashes by request.
     */
    private Map<RequestFingerprint, List<CrashRecord>> openCrashes() {
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

    /**
     * Tells whether a crash was one of many at the same time that the request can't have caused.
     *
     * @param record The crash.
     * @param ownRecords All crashes of the request.
     * @param all All crashes of all requests.
     * @return Whether the request is not to blame.
     */
    private boolean hasCommonCause(CrashRecord record, List<CrashRecord> ownRecords, List<CrashRecord> all) {
        Set<String> servers = new HashSet<>();
        all.stream().filter(other -> isTogether(record, other)).forEach(other -> servers.add(other.server()));
        if (servers.size() < limits.commonCauseServers()) {
            return false;
        }
        List<CrashRecord> there =
                ownRecords.stream().filter(other -> isTogether(record, other)).toList();
        return chain(there).size() == 1;
    }

    /**
     * Tells whether two crashes were together.
     *
     * @param one A crash.
     * @param other Another crash.
     * @return Whether they were.
     */
    private boolean isTogether(CrashRecord one, CrashRecord other) {
        return Math.abs(one.crashedAtMillis() - other.crashedAtMillis()) <= limits.commonCauseMillis();
    }

    /**
     * Picks crashes of which each run started after the crash before it.
     *
     * @param records The crashes.
     * @return Those, oldest first.
     */
    private static List<CrashRecord> chain(List<CrashRecord> records) {
        List<CrashRecord> sorted = new ArrayList<>(records);
        sorted.sort(Comparator.comparingLong(CrashRecord::crashedAtMillis));
        List<CrashRecord> chain = new ArrayList<>();
        for (CrashRecord record : sorted) {
            if (chain.isEmpty() || record.follows(last(chain))) {
                chain.add(record);
            }
        }
        return chain;
    }

    /**
     * Returns the last crash.
     *
     * @param chain The crashes, oldest first.
     * @return The last one.
     */
    private static CrashRecord last(List<CrashRecord> chain) {
        return chain.get(chain.size() - 1);
    }

    /**
     * What follows for a suspected request.
     *
     * @param crashes The number of crashes, one after another.
     * @param lastMillis The time of the last crash in milliseconds.
     */
    private record Verdict(int crashes, long lastMillis) {}
}
