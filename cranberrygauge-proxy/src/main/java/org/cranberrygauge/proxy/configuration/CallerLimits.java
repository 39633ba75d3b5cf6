package org.cranberrygauge.proxy.configuration;

/**
 * What callers may send, and how long their connections may be idle.
 *
 * @param bodyBytes The maximum size of a request body in bytes.
 * @param idleMillis The time without a request after which a connection is closed, in milliseconds.
 * @param headMillis The time within which the head of a request must be complete once it has begun, in milliseconds.
 */
public record CallerLimits(long bodyBytes, long idleMillis, long headMillis) {

    /** The limits where the operator sets none, or before they are known. */
    public static final CallerLimits STANDARD = new CallerLimits(4 << 20, 15_000, 10_000);
}
