package org.cranberrygauge.operator.command;

/** The exit statuses of the command line. */
public enum ExitStatus {
    /** The command did what it was told. */
    DONE(0, "the command did what it was told"),
    /** An error of the program itself. */
    INTERNAL(1, "an error of the program itself"),
    /** A setting is wrong or missing. */
    USAGE(2, "a setting is wrong or missing"),
    /** A file or an answer is invalid; nothing was changed. */
    INVALID(3, "a file or an answer is invalid, or nothing is known of the subject; nothing was changed"),
    /** Somebody else changed the configuration first; nothing was changed. */
    CONFLICT(4, "somebody else changed the configuration first; nothing was changed"),
    /** The log does not answer; the change may or may not take effect. */
    OUTAGE(5, "the log does not answer; the change may or may not take effect"),
    /** The change is in the log, and not every gateway has confirmed it. */
    UNCONFIRMED(6, "timeout: the change is in the log, and not every gateway has confirmed it");

    /** The number. */
    private final int number;

    /** What it means. */
    private final String meaning;

    /**
     * Creates a status.
     *
     * @param number The number.
     * @param meaning What it means.
     */
    ExitStatus(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /**
     * Returns the number.
     *
     * @return The number.
     */
    public int number() {
        return number;
    }

    /**
     * Returns what the status means.
     *
     * @return The text.
     */
    public String meaning() {
        return meaning;
    }
}
