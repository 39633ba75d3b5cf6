package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.decision.membership.AdmissionFreshness;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.verification.faults.GatewayStates.Status;

/**
 * Searches breadth-first all states that four gateways can reach under one network partition, and counts what each
 * admission freshness rule does in them.
 *
 * <p>Events come in any order, up to a maximum number: the partition begins or heals, a host dies, a process starts on
 * it again, a gateway pauses and resumes, reads the log, hears from its peers, the freshness bound passes, a key is
 * withdrawn, the withdrawal is accepted, a gateway is removed from the members. Rules change what is admitted and
 * never the events, so one search serves all rules. Not thread-safe.
 */
final class FreshnessSearch {

    private static final long FRESHNESS_MILLIS = 1_000;

    private static final long NOW_MILLIS = 10_000;

    static final List<AdmissionFreshness> RULES = List.of(
            AdmissionFreshness.Default.INSTANCE,
            AdmissionFreshness.Majority.INSTANCE,
            AdmissionFreshness.Strict.INSTANCE,
            AdmissionFreshness.Disabled.INSTANCE);

    private final NetworkPartition partition;

    /** When a gateway may be removed from the members. */
    private final RemovalRule removalRule;

    private final Set<Long> reached = new HashSet<>();

    /** The states first reached by the present number of events. */
    private List<Long> frontier = new ArrayList<>();

    /** The maximum number of events. */
    private final int depth;

    private final FreshnessRuleResult[] results = new FreshnessRuleResult[RULES.size()];

    FreshnessSearch(NetworkPartition partition, RemovalRule removalRule, int depth) {
        this.depth = depth;
        this.partition = partition;
        this.removalRule = removalRule;
    }

    /** When the lease holder may remove a gateway from the members. */
    enum RemovalRule {
        /** If its host is dead, which an accurate list of hosts eventually shows. */
        DEAD_HOST("when its host is dead (according to an accurate list of hosts)"),
        /** If no gateway that reads the log heard from it within the freshness bound. */
        SILENCE("when no gateway that reads the log received its report within the bound"),
        /** If no other gateway heard from it within the freshness bound. */
        SILENCE_TO_ALL("when no gateway received its report within the bound");

        private final String text;

        RemovalRule(String text) {
            this.text = text;
        }

        String text() {
            return text;
        }
    }

    /** Searches and returns the results of each rule, in the order of {@link #RULES}. */
    List<FreshnessRuleResult> run() {
        for (int rule = 0; rule < results.length; rule++) {
            results[rule] = FreshnessRuleResult.none();
        }
        add(GatewayStates.initial());
        for (int events = 0; events <= depth && !frontier.isEmpty(); events++) {
            List<Long> present = frontier;
            frontier = new ArrayList<>();
            for (long bits : present) {
                GatewayStates state = new GatewayStates(bits);
                count(state);
                if (events < depth) {
                    successors(state);
                }
            }
        }
        return List.of(results);
    }

    /** Adds a state to the frontier unless it was reached before. */
    private void add(GatewayStates state) {
        if (reached.add(state.bits())) {
            frontier.add(state.bits());
        }
    }

    /** Adds the states that follow a state. */
    private void successors(GatewayStates state) {
        add(state.withPartitioned(!state.partitioned()));
        add(passFreshnessBound(state));
        add(state.withAppended());
        if (state.appended() && isConfirmed(state)) {
            add(state.withAccepted());
        }
        for (int gateway = 0; gateway < GatewayStates.GATEWAYS; gateway++) {
            gatewaySuccessors(state, gateway);
        }
    }

    /** Adds the states that follow from an event at one gateway. */
    private void gatewaySuccessors(GatewayStates state, int gateway) {
        if (mayRemove(state, gateway)) {
            add(state.withRemoved(gateway, true));
        }
        switch (state.status(gateway)) {
            case RUNNING -> {
                add(killed(state, gateway));
                add(state.withStatus(gateway, Status.FROZEN));
                add(hear(state, gateway));
                if (reachesLog(state, gateway)) {
                    add(read(state, gateway));
                }
            }
            case FROZEN -> {
                add(killed(state, gateway));
                add(state.withStatus(gateway, Status.RUNNING));
            }
            default -> add(state.withStatus(gateway, Status.RUNNING));
        }
    }

    /** Kills a gateway, whose process loses its state. */
    private static GatewayStates killed(GatewayStates state, int gateway) {
        return state.withStatus(gateway, Status.DEAD)
                .withKnows(gateway, false)
                .withFresh(gateway, false)
                .withMember(gateway, false)
                .withHeard(gateway, 0);
    }

    /** Lets a gateway read the log to its end, and join if it is not a member. */
    private static GatewayStates read(GatewayStates state, int gateway) {
        return state.withKnows(gateway, state.appended())
                .withFresh(gateway, true)
                .withRemoved(gateway, false)
                .withMember(gateway, true);
    }

    /** Lets a gateway hear from the peers it reaches and take over what they know. */
    private GatewayStates hear(GatewayStates state, int gateway) {
        GatewayStates next = state.withHeard(gateway, 0);
        for (int peer = 0; peer < GatewayStates.GATEWAYS; peer++) {
            if (peer == gateway || !state.runs(peer) || !connects(state, gateway, peer)) {
                continue;
            }
            next = next.withHeard(gateway, next.heard(gateway) | 1 << peer);
            next = next.withKnows(gateway, next.knows(gateway) || state.knows(peer));
            if (state.fresh(peer)) {
                next = next.withFresh(gateway, true);
                next = next.withMember(gateway, next.member(gateway) && !next.removed(gateway));
            }
        }
        return next;
    }

    /**
     * Lets the freshness bound pass, in which all running gateways read the log and hear from their peers where they
     * reach them.
     */
    private GatewayStates passFreshnessBound(GatewayStates state) {
        GatewayStates next = state;
        for (int gateway = 0; gateway < GatewayStates.GATEWAYS; gateway++) {
            next = next.withFresh(gateway, false).withHeard(gateway, 0);
            if (next.runs(gateway) && reachesLog(next, gateway)) {
                next = read(next, gateway);
            }
        }
        for (int gateway = 0; gateway < GatewayStates.GATEWAYS; gateway++) {
            if (next.runs(gateway)) {
                next = hear(next, gateway);
            }
        }
        return next;
    }

    /** Tells whether every member confirms the withdrawal to the operator. */
    private static boolean isConfirmed(GatewayStates state) {
        for (int gateway = 0; gateway < GatewayStates.GATEWAYS; gateway++) {
            if (!state.removed(gateway) && !(state.runs(gateway) && state.knows(gateway))) {
                return false;
            }
        }
        return true;
    }

    /** Tells whether the lease holder may remove a gateway from the members. */
    private boolean mayRemove(GatewayStates state, int gateway) {
        if (removalRule == RemovalRule.DEAD_HOST || state.status(gateway) == Status.DEAD) {
            return state.status(gateway) == Status.DEAD;
        }
        boolean readers = false;
        for (int peer = 0; peer < GatewayStates.GATEWAYS; peer++) {
            boolean reader = state.runs(peer) && reachesLog(state, peer) && state.fresh(peer);
            if (reader && peer == gateway) {
                return false;
            }
            boolean consulted = reader || removalRule == RemovalRule.SILENCE_TO_ALL;
            if (consulted && (state.heard(peer) >> gateway & 1) != 0) {
                return false;
            }
            readers |= reader;
        }
        return readers && !state.fresh(gateway);
    }

    /** Tells whether two gateways reach each other now. */
    private boolean connects(GatewayStates state, int one, int other) {
        return !state.partitioned() || partition.connects(one, other);
    }

    /** Tells whether a gateway reaches the log now. */
    private boolean reachesLog(GatewayStates state, int gateway) {
        return !state.partitioned() || partition.reachesLog(gateway);
    }

    /** Counts what each rule does in a state. */
    private void count(GatewayStates state) {
        for (int rule = 0; rule < results.length; rule++) {
            results[rule] = results[rule].plus(evaluate(state, RULES.get(rule)));
        }
    }

    private FreshnessRuleResult evaluate(GatewayStates state, AdmissionFreshness rule) {
        int withdrawn = 0;
        int safeToAdmit = 0;
        int refused = 0;
        int running = 0;
        int admitting = 0;
        for (int gateway = 0; gateway < GatewayStates.GATEWAYS; gateway++) {
            if (!state.runs(gateway)) {
                continue;
            }
            running++;
            boolean admits = rule.mayAdmit(NOW_MILLIS, view(state, gateway));
            boolean current = state.knows(gateway) == state.appended() && state.member(gateway);
            admitting += admits ? 1 : 0;
            withdrawn += admits && state.accepted() && !state.knows(gateway) ? 1 : 0;
            safeToAdmit += current ? 1 : 0;
            refused += current && !admits ? 1 : 0;
        }
        boolean needlessStop = running > 0 && admitting == 0 && refused == running;
        return new FreshnessRuleResult(
                        1, withdrawn, safeToAdmit, refused, needlessStop ? 1 : 0, needlessStop && running > 1 ? 1 : 0)
                .times(partition.weight());
    }

    /** Builds what a gateway knows. */
    private static AdmissionFreshness.View view(GatewayStates state, int gateway) {
        List<PeerReport> peers = new ArrayList<>();
        long version = state.knows(gateway) ? 1 : 0;
        for (int peer = 0; peer < GatewayStates.GATEWAYS; peer++) {
            if ((state.heard(gateway) >> peer & 1) != 0) {
                peers.add(new PeerReport("gateway-" + peer, NOW_MILLIS, version, version, NOW_MILLIS, Map.of(), false));
            }
        }
        return new AdmissionFreshness.View(
                state.fresh(gateway) ? NOW_MILLIS : 0,
                FRESHNESS_MILLIS,
                version,
                version,
                state.member(gateway),
                GatewayStates.GATEWAYS - 1,
                peers);
    }
}
