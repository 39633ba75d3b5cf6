package org.cranberrygauge.model.record;

/** The customer and class that usage is counted for. */
public record UsageKey(String customer, String className) {

    /** Separates the parts of the text form. */
    private static final char SEPARATOR = '|';

    /**
     * Parses the text form CUSTOMER|CLASS.
     *
     * @throws IllegalArgumentException If the separator is missing.
     */
    public static UsageKey parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator < 0) {
            throw new IllegalArgumentException("expected CUSTOMER|CLASS, got " + text);
        }
        return new UsageKey(text.substring(0, separator), text.substring(separator + 1));
    }

    @Override
    public String toString() {
        return customer + SEPARATOR + className;
    }
}
