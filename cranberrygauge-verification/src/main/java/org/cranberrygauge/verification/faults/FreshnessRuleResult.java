package org.cranberrygauge.verification.faults;

/**
 * What an admission freshness rule does over a set of states.
 *
 * @param states The number of states.
 * @param withdrawnAdmitted The number of pairs of state and gateway in which it admits by a key whose withdrawal was
 *     accepted.
 * @param safeToAdmit The number of pairs in which admitting is safe because the gateway knows the newest version.
 * @param refusedWithoutNeed The number of safe pairs in which it refuses.
 * @param stops The number of states in which all running gateways refuse although admitting is safe.
 * @param stopsOfSeveral The number of those states in which more than one gateway runs.
 */
record FreshnessRuleResult(
        long states,
        long withdrawnAdmitted,
        long safeToAdmit,
        long refusedWithoutNeed,
        long stops,
        long stopsOfSeveral) {

    /** Returns the result over no states. */
    static FreshnessRuleResult none() {
        return new FreshnessRuleResult(0, 0, 0, 0, 0, 0);
    }

    /** Adds the result over other states. */
    FreshnessRuleResult plus(FreshnessRuleResult other) {
        return new FreshnessRuleResult(
                states + other.states,
                withdrawnAdmitted + other.withdrawnAdmitted,
                safeToAdmit + other.safeToAdmit,
                refusedWithoutNeed + other.refusedWithoutNeed,
                stops + other.stops,
                stopsOfSeveral + other.stopsOfSeveral);
    }

    /** Multiplies all counts by the number of equivalent network partitions. */
    FreshnessRuleResult times(long factor) {
        return new FreshnessRuleResult(
                states * factor,
                withdrawnAdmitted * factor,
                safeToAdmit * factor,
                refusedWithoutNeed * factor,
                stops * factor,
                stopsOfSeveral * factor);
    }
}
