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
 * Searches all states that four gateways can reach under one cut of the network, breadth first, and counts the harm that
 * each rule of freshness does in them.
 *
 * <p>Events come in any order, up to a number: the cut and its end, a host dies, a process starts on it again, a gateway
 * freezes and thaws, reads the log, hears its peers, the freshness bound passes, a key is withdrawn, the withdrawal is
 * accepted, a gateway is declared gone. Rules change what is admitted and never the events, so that one search serves all.
 * Used by one thread.
 */
final class FreshnessSearch {

    /** The freshness bound in milliseconds. */
    private static final long FRESHNESS_MILLIS = 1_000;

    /** The present time in all views in milliseconds. */
    private static final long NOW_MILLIS = 10_000;

    /** The rules that are compared. */
    static final List<AdmissionFreshness> RULES = List.of(
            AdmissionFreshness.Default.INSTANCE,
            AdmissionFreshness.Majority.INSTANCE,
            AdmissionFreshness.Strict.INSTANCE,
            AdmissionFreshness.Disabled.INSTANCE);

    /** The cut. */
    private final NetworkPartition cut;

    /** Who may be declared gone. */
    private final Declaration declaration;

    /** The states that were reached. */
    private final Set<Long> reached = new HashSet<>();

    /** The states that were reached by the present number of events. */
    private List<Long> frontier = new ArrayList<>();

    /** The highest number of events. */
    private final int depth;

    /** What each rule did. */
    private final FreshnessRuleResult[] harms = new FreshnessRuleResult[RULES.size()];

    /**
     * Creates a search.
     *
     * @param cut The cut.
     * @param declaration Who may be declared gone.
     * @param depth The highest number of events.
     */
    FreshnessSearch(NetworkPartition cut, Declaration declaration, int depth) {
        this.depth = depth;
        this.cut = cut;
        this.declaration = declaration;
    }

    /** Who may be declared gone. */
    enum Declaration {
        /** A gateway whose host is dead, which is what a truthful list of hosts shows in the end. */
        DEAD_HOST("when its host is dead (a truthful list of hosts)"),
        /** Any gateway that no reader of the log heard for the freshness bound. */
        SILENCE("when no reader of the log heard it for the bound"),
        /** Any gateway that neither a reader of the log nor any other gateway heard for the freshness bound. */
        SILENCE_TO_ALL("when nobody heard it for the bound");

        /** The text for the page. */
        private final String text;

        /**
         * Creates a declaration.
         *
         * @param text The text for the page.
         */
        Declaration(String text) {
            this.text = text;
        }

        /**
         * Returns the text for the page.
         *
         * @return The text.
         */
        String text() {
            return text;
        }
    }

    /**
     * Searches.
     *
     * @return What each rule did, in the order of the rules.
     */
    List<FreshnessRuleResult> run() {
        for (int rule = 0; rule < harms.length; rule++) {
            harms[rule] = FreshnessRuleResult.none();
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
        return List.of(harms);
    }

    /**
     * Notes a state unless it was reached before.
     *
     * @param state The state.
     */
    private void add(GatewayStates state) {
        if (reached.add(state.bits())) {
            frontier.add(state.bits());
        }
    }

    /**
     * Finds the states that follow a state.
     *
     * @param state The state.
     */
    private void successors(GatewayStates state) {
        add(state.withCut(!state.cut()));
        add(pass(state));
        add(state.withAppended());
        if (state.appended() && isConfirmed(state)) {
            add(state.withAccepted());
        }
        for (int gateway = 0; gateway < GatewayStates.GATEWAYS; gateway++) {
            ofGateway(state, gateway);
        }
    }

    /**
     * Finds the states that follow when one gateway does something or something happens to it.
     *
     * @param state The state.
     * @param gateway The gateway.
     */
    private void ofGateway(GatewayStates state, int gateway) {
        if (mayDeclare(state, gateway)) {
            add(state.withGone(gateway, true));
        }
        switch (state.status(gateway)) {
            case RUNNING -> {
                add(dead(state, gateway));
                add(state.withStatus(gateway, Status.FROZEN));
                add(hear(state, gateway));
                if (reachesLog(state, gateway)) {
                    add(read(state, gateway));
                }
            }
            case FROZEN -> {
                add(dead(state, gateway));
                add(state.withStatus(gateway, Status.RUNNING));
            }
            default -> add(state.withStatus(gateway, Status.RUNNING));
        }
    }

    /**
     * Kills a gateway; its process forgets all.
     *
     * @param state The state.
     * @param gateway The gateway.
     * @return The state after it.
     */
    private static GatewayStates dead(GatewayStates state, int gateway) {
        return state.withStatus(gateway, Status.DEAD)
                .withKnows(gateway, false)
                .withFresh(gateway, false)
                .withMember(gateway, false)
                .withHeard(gateway, 0);
    }

    /**
     * Lets a gateway read the log to its end; if it finds itself gone or not joined, it joins.
     *
     * @param state The state.
     * @param gateway The gateway.
     * @return The state after it.
     */
    private static GatewayStates read(GatewayStates state, int gateway) {
        return state.withKnows(gateway, state.appended())
                .withFresh(gateway, true)
                .withGone(gateway, false)
                .withMember(gateway, true);
    }

    /**
     * Lets a gateway hear the peers that it reaches and take over what they know.
     *
     * @param state The state.
     * @param gateway The gateway.
     * @return The state after it.
     */
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
                next = next.withMember(gateway, next.member(gateway) && !next.gone(gateway));
            }
        }
        return next;
    }

    /**
     * Lets the freshness bound pass, in which all that run read and hear what they reach.
     *
     * @param state The state.
     * @return The state after it.
     */
    private GatewayStates pass(GatewayStates state) {
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

    /**
     * Tells whether every gateway that was not declared gone confirms the withdrawal to the operator.
     *
     * @param state The state.
     * @return Whether they do.
     */
    private static boolean isConfirmed(GatewayStates state) {
        for (int gateway = 0; gateway < GatewayStates.GATEWAYS; gateway++) {
            if (!state.gone(gateway) && !(state.runs(gateway) && state.knows(gateway))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether the lease holder may declare a gateway gone.
     *
     * @param state The state.
     * @param gateway The gateway.
     * @return Whether it may.
     */
    private boolean mayDeclare(GatewayStates state, int gateway) {
        if (declaration == Declaration.DEAD_HOST || state.status(gateway) == Status.DEAD) {
            return state.status(gateway) == Status.DEAD;
        }
        boolean readers = false;
        for (int peer = 0; peer < GatewayStates.GATEWAYS; peer++) {
            boolean reader = state.runs(peer) && reachesLog(state, peer) && state.fresh(peer);
            if (reader && peer == gateway) {
                return false;
            }
            boolean asked = reader || declaration == Declaration.SILENCE_TO_ALL;
            if (asked && (state.heard(peer) >> gateway & 1) != 0) {
                return false;
            }
            readers |= reader;
        }
        return readers && !state.fresh(gateway);
    }

    /**
     * Tells whether two gateways reach each other now.
     *
     * @param state The state.
     * @param one The one.
     * @param other The other.
     * @return Whether they do.
     */
    private boolean connects(GatewayStates state, int one, int other) {
        return !state.cut() || cut.connects(one, other);
    }

    /**
     * Tells whether a gateway reaches the log now.
     *
     * @param state The state.
     * @param gateway The gateway.
     * @return Whether it does.
     */
    private boolean reachesLog(GatewayStates state, int gateway) {
        return !state.cut() || cut.reachesLog(gateway);
    }

    /**
     * Counts what each rule does in a state.
     *
     * @param state The state.
     */
    private void count(GatewayStates state) {
        for (int rule = 0; rule < harms.length; rule++) {
            harms[rule] = harms[rule].plus(judge(state, RULES.get(rule)));
        }
    }

    /**
     * Judges a rule in a state.
     *
     * @param state The state.
     * @param rule The rule.
     * @return What it does.
     */
    private FreshnessRuleResult judge(GatewayStates state, AdmissionFreshness rule) {
        int withdrawn = 0;
        int harmless = 0;
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
            harmless += current ? 1 : 0;
            refused += current && !admits ? 1 : 0;
        }
        boolean needlessStop = running > 0 && admitting == 0 && refused == running;
        return new FreshnessRuleResult(
                        1, withdrawn, harmless, refused, needlessStop ? 1 : 0, needlessStop && running > 1 ? 1 : 0)
                .times(cut.weight());
    }

    /**
     * Builds what a gateway knows.
     *
     * @param state The state.
     * @param gateway The gateway.
     * @return The view.
     */
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
