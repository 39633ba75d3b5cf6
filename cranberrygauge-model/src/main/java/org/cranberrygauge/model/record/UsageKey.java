package org.cranberrygauge.model.record;

/**
 * What usage is counted by.
 *
 * @param customer The name of the customer.
 * @param className The name of the class.
 */
public record UsageKey(String customer, String className) {

    /** The character between the two parts of the written form. */
    private static final char SEPARATOR = '|';

    /**
     * Reads the written form.
     *
     * @param text The text.
     * @return The key.
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
