package org.cranberrygauge.verification.faults;

/**
 * What a rule of freshness did over a set of states.
 *
 * @param states The number of states.
 * @param withdrawnAdmitted The number of pairs of state and gateway in which it admits by a key whose withdrawal was
 *     accepted.
 * @param harmless The number of pairs in which admitting would do no harm, since the gateway knows the newest version.
 * @param refusedWithoutNeed The number of those in which it refuses.
 * @param stops The number of states in which all that run refuse, each without need.
 * @param stopsOfSeveral The number of those in which more than one runs.
 */
record FreshnessRuleResult(
        long states, long withdrawnAdmitted, long harmless, long refusedWithoutNeed, long stops, long stopsOfSeveral) {

    /**
     * Returns no harm over no state.
     *
     * @return The zero.
     */
    static FreshnessRuleResult none() {
        return new FreshnessRuleResult(0, 0, 0, 0, 0, 0);
    }

    /**
     * Adds the harm over other states.
     *
     * @param other The other harm.
     * @return The sum.
     */
    FreshnessRuleResult plus(FreshnessRuleResult other) {
        return new FreshnessRuleResult(
                states + other.states,
                withdrawnAdmitted + other.withdrawnAdmitted,
                harmless + other.harmless,
                refusedWithoutNeed + other.refusedWithoutNeed,
                stops + other.stops,
                stopsOfSeveral + other.stopsOfSeveral);
    }

    /**
     * Counts the harm several times.
     *
     * @param factor The number of times.
     * @return The product.
     */
    FreshnessRuleResult times(long factor) {
        return new FreshnessRuleResult(
                states * factor,
                withdrawnAdmitted * factor,
                harmless * factor,
                refusedWithoutNeed * factor,
                stops * factor,
                stopsOfSeveral * factor);
    }
}
