package org.cranberrygauge.decision.connection;

/** Why a server closes a connection that it has accepted. */
public enum CloseReason {
    /** No request came for the idle timeout. */
    IDLE,
    /** The head of a request was not complete within its timeout. */
    HEAD_TIMEOUT,
    /** The peer has read nothing of what waits for it for the idle timeout. */
    NOT_READING,
    /** It had waited longest for a request when there were too many connections. */
    DISPLACED,
    /** There were too many connections when it was opened, and none that could be closed. */
    REFUSED
}
