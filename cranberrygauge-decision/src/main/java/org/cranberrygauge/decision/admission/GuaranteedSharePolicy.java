package org.cranberrygauge.decision.admission;

/**
 * Decides whether a class starts a request before higher tiers.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface GuaranteedSharePolicy {

    /** The credit from which a class is owed a start. */
    double CREDIT_OF_START = 1;

    /**
     * Tells whether a class is owed a start now.
     *
     * @param need What the class needs.
     * @param higherInDanger Whether a higher tier has a request close to its deadline.
     * @return Whether the class goes first.
     */
    boolean isOwed(ClassNeed need, boolean higherInDanger);

    /**
     * Grants the share to a class that would else miss its target, unless a higher tier is in danger, and one start to a
     * starved class in any case.
     */
    enum Deferring implements GuaranteedSharePolicy {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean isOwed(ClassNeed need, boolean higherInDanger) {
            boolean earned = need.credit() >= CREDIT_OF_START && need.pressing();
            return need.starved() || earned && !higherInDanger;
        }
    }

    /** Grants the share whatever the higher tiers suffer. */
    enum Strict implements GuaranteedSharePolicy {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean isOwed(ClassNeed need, boolean higherInDanger) {
            return need.credit() >= CREDIT_OF_START;
        }
    }

    /** Grants no share: strict priority. */
    enum Disabled implements GuaranteedSharePolicy {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean isOwed(ClassNeed need, boolean higherInDanger) {
            return false;
        }
    }

    /**
     * What a class needs.
     *
     * @param credit The guaranteed starts that it has not used yet.
     * @param pressing Whether a request has waited for a good part of the target.
     * @param starved Whether the class had no start for longer than its bound.
     */
    record ClassNeed(double credit, boolean pressing, boolean starved) {}
}
