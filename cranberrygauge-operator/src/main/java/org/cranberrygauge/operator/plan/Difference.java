package org.cranberrygauge.operator.plan;

/**
 * One difference between two configurations.
 *
 * @param action What happens.
 * @param section The section of the configuration.
 * @param name The name of the item.
 * @param details What changes within the item, or an empty string.
 */
public record Difference(Action action, String section, String name, String details) {

    /** What happens to an item. */
    public enum Action {
        /** It is new. */
        ADD("+"),
        /** It changes. */
        CHANGE("~"),
        /** It goes. */
        REMOVE("-");

        /** The mark in front of a line. */
        private final String mark;

        /**
         * Creates an action.
         *
         * @param mark The mark in front of a line.
         */
        Action(String mark) {
            this.mark = mark;
        }
    }

    /**
     * Writes the difference for people.
     *
     * @return The line.
     */
    public String line() {
        return action.mark + " " + section + " " + name + (details.isEmpty() ? "" : ": " + details);
    }
}
