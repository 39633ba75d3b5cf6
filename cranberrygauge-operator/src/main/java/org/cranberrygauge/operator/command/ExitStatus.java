package org.cranberrygauge.operator.command;

/** The exit statuses of the command line. */
public enum ExitStatus {
    /** The command did what it was told. */
    DONE(0),
    /** An error of the program itself. */
    INTERNAL(1),
    /** A setting is wrong or missing. */
    USAGE(2),
    /** A file or an answer is invalid; nothing was changed. */
    INVALID(3),
    /** Somebody else changed the configuration first; nothing was changed. */
    CONFLICT(4),
    /** The log does not answer; the change may or may not take effect. */
    OUTAGE(5),
    /** The change is in the log, and not every gateway has confirmed it. */
    UNCONFIRMED(6);

    /** The number. */
    private final int number;

    /**
     * Creates a status.
     *
     * @param number The number.
     */
    ExitStatus(int number) {
        this.number = number;
    }

    /**
     * Returns the number.
     *
     * @return The number.
     */
    public int number() {
        return number;
    }
}
