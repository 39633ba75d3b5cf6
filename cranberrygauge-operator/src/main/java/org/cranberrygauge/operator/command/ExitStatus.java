package org.cranberrygauge.operator.command;

/** Exit statuses of the command line. */
public enum ExitStatus {
    /** The command succeeded. */
    DONE(0, "the command succeeded"),
    /** The program failed. */
    INTERNAL(1, "internal error"),
    /** A setting is invalid or missing. */
    USAGE(2, "a setting is invalid or missing"),
    /** A file or an answer is invalid, or the subject is unknown; nothing was changed. */
    INVALID(3, "a file or an answer is invalid, or the subject is unknown; nothing was changed"),
    /** Another operator changed the configuration first; nothing was changed. */
    CONFLICT(4, "another operator changed the configuration first; nothing was changed"),
    /** The log does not answer; the change may or may not take effect. */
    OUTAGE(5, "the log does not answer; the change may or may not take effect"),
    /** The change is in the log, but not every gateway has confirmed it in time. */
    UNCONFIRMED(6, "timeout: the change is in the log, but not every gateway has confirmed it");

    private final int number;

    private final String meaning;

    ExitStatus(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    public int number() {
        return number;
    }

    public String meaning() {
        return meaning;
    }
}
