package org.cranberrygauge.verification.capacity;

/**
 * The size that the system shall carry, and the assumptions beside it.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class TargetSize {

    /** The nodes. */
    static final int NODES = 330;

    /** The backend servers. */
    static final int SERVERS = 940;

    /** The customers. */
    static final int CUSTOMERS = 670;

    /** The pairs of customer and class. */
    static final double PAIRS = (double) CUSTOMERS * SyntheticData.CLASSES;

    /** The requests a second of the whole system. */
    static final double REQUESTS_PER_SECOND = 7_700;

    /** The tokens a second of the whole system. */
    static final double TOKENS_PER_SECOND = 1_600_000;

    /** The average changes of the configuration a second. */
    static final double AVERAGE_CHANGES_PER_SECOND = 1_500 / 86_400.0;

    /** The changes of the configuration a second at ten times the average, which is an assumption. */
    static final double CHANGES_PER_SECOND = 10 * AVERAGE_CHANGES_PER_SECOND;

    /** The share of requests that are reserved in the log, which is an assumption. */
    static final double RESERVED_SHARE = 0.05;

    /** The requests that are reserved in the log a second. */
    static final double RESERVED_PER_SECOND = REQUESTS_PER_SECOND * RESERVED_SHARE;

    /** The seconds in an hour. */
    static final double HOUR_SECONDS = 3_600;

    /** The seconds in a day. */
    static final double DAY_SECONDS = 86_400;

    /** The number of milliseconds in a second. */
    static final double MILLIS_PER_SECOND = 1_000;

    /** Prevents instances. */
    private TargetSize() {}
}
