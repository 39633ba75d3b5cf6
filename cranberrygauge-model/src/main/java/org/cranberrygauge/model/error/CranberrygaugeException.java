package org.cranberrygauge.model.error;

/**
 * The base of all checked errors of the programs.
 *
 * <p>Instances are immutable. The code is stable and may be matched by programs; the message is for people.
 */
public class CranberrygaugeException extends Exception {

    /** The serial version. */
    private static final long serialVersionUID = 1L;

    /** The stable code of this error. */
    private final ErrorCode code;

    /**
     * Creates an error.
     *
     * @param code The stable code.
     * @param message The text for people.
     */
    public CranberrygaugeException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an error with a cause.
     *
     * @param code The stable code.
     * @param message The text for people.
     * @param cause The cause.
     */
    public CranberrygaugeException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Returns the stable code.
     *
     * @return The code.
     */
    public ErrorCode code() {
        return code;
    }
}
