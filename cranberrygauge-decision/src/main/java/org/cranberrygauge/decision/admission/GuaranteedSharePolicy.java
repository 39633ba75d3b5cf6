package org.cranberrygauge.decision.admission;

/**
 * Decides whether a class may start a request ahead of higher tiers by its guaranteed share.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface GuaranteedSharePolicy {

    /** The credit that entitles a class to one start. */
    double CREDIT_PER_START = 1;

    /**
     * Returns whether a class may start a request ahead of higher tiers now.
     *
     * @param higherTierNearDeadline Whether a higher tier has a request close to its deadline.
     */
    boolean isEntitled(ShareClaim claim, boolean higherTierNearDeadline);

    /**
     * Grants the share to a class that would otherwise miss its target, unless a higher tier is near a deadline. A
     * starved class always gets one start.
     */
    enum Deferring implements GuaranteedSharePolicy {
        INSTANCE;

        @Override
        public boolean isEntitled(ShareClaim claim, boolean higherTierNearDeadline) {
            boolean earnedAndUrgent = claim.credit() >= CREDIT_PER_START && claim.urgent();
            return claim.starved() || earnedAndUrgent && !higherTierNearDeadline;
        }
    }

    /** Grants the share regardless of the state of higher tiers. */
    enum Strict implements GuaranteedSharePolicy {
        INSTANCE;

        @Override
        public boolean isEntitled(ShareClaim claim, boolean higherTierNearDeadline) {
            return claim.credit() >= CREDIT_PER_START;
        }
    }

    /** Grants no share, which is strict priority by tier. */
    enum Disabled implements GuaranteedSharePolicy {
        INSTANCE;

        @Override
        public boolean isEntitled(ShareClaim claim, boolean higherTierNearDeadline) {
            return false;
        }
    }

    /**
     * The claim of a class to its guaranteed share.
     *
     * @param credit The guaranteed starts earned and not yet used.
     * @param urgent Whether a request has waited for a large part of its first-token target.
     * @param starved Whether the class has had no start for longer than its first-token target.
     */
    record ShareClaim(double credit, boolean urgent, boolean starved) {}
}
