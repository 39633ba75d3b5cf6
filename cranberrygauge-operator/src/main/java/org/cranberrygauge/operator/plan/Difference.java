package org.cranberrygauge.operator.plan;

/**
 * A difference between two configurations.
 *
 * @param details The components that change within the item, or an empty string.
 */
public record Difference(Action action, String section, String name, String details) {

    /** What happens to an item. */
    public enum Action {
        /** The item is new. */
        ADD("+"),
        /** The item is changed. */
        CHANGE("~"),
        /** The item is removed. */
        REMOVE("-");

        /** Printed at the start of the line. */
        private final String mark;

        Action(String mark) {
            this.mark = mark;
        }
    }

    /** Formats the difference as one line of text. */
    public String line() {
        return action.mark + " " + section + " " + name + (details.isEmpty() ? "" : ": " + details);
    }
}
