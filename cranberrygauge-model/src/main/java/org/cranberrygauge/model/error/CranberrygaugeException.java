package org.cranberrygauge.model.error;

/**
 * The base class of all checked exceptions.
 *
 * <p>Immutable. The code is stable and may be matched by programs; the message is meant for people.
 */
public class CranberrygaugeException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /** Creates an exception without a cause. */
    public CranberrygaugeException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /** Creates an exception with a cause. */
    public CranberrygaugeException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the stable code that programs may match. */
    public ErrorCode code() {
        return code;
    }
}
