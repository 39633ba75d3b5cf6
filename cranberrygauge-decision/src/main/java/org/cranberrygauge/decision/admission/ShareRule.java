package org.cranberrygauge.decision.admission;

/**
 * Decides whether a class starts a request before higher tiers.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface ShareRule {

    /** The credit from which a class is owed a start. */
    double CREDIT_OF_START = 1;

    /**
     * Tells whether a class is owed a start now.
     *
     * @param credit The guaranteed starts of the class that are not used yet.
     * @param starved Whether the class had no start for longer than its bound.
     * @param higherInDanger Whether a higher tier has a request close to its deadline.
     * @return Whether the class goes first.
     */
    boolean isOwed(double credit, boolean starved, boolean higherInDanger);

    /** Grants the share unless a higher tier is in danger, and one start to a starved class in any case. */
    enum Deferring implements ShareRule {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean isOwed(double credit, boolean starved, boolean higherInDanger) {
            return starved || credit >= CREDIT_OF_START && !higherInDanger;
        }
    }

    /** Grants the share whatever the higher tiers suffer. */
    enum Strict implements ShareRule {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean isOwed(double credit, boolean starved, boolean higherInDanger) {
            return credit >= CREDIT_OF_START;
        }
    }

    /** Grants no share: strict priority. */
    enum Disabled implements ShareRule {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean isOwed(double credit, boolean starved, boolean higherInDanger) {
            return false;
        }
    }
}
