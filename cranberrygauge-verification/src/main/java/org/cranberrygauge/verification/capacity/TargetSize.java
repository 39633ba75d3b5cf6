package org.cranberrygauge.verification.capacity;

/** The size that the system is designed for, and the assumptions that go with it. */
final class TargetSize {

    static final int NODES = 330;

    /** The number of backend servers. */
    static final int SERVERS = 940;

    static final int CUSTOMERS = 670;

    /** The pairs of customer and class. */
    static final double PAIRS = (double) CUSTOMERS * SyntheticData.CLASSES;

    /** The requests per second of the whole system. */
    static final double REQUESTS_PER_SECOND = 7_700;

    /** The tokens per second of the whole system. */
    static final double TOKENS_PER_SECOND = 1_600_000;

    /** The configuration changes per second on the average of a day. */
    static final double AVERAGE_CHANGES_PER_SECOND = 1_500 / 86_400.0;

    /** The configuration changes per second at ten times the average, which is an assumption. */
    static final double CHANGES_PER_SECOND = 10 * AVERAGE_CHANGES_PER_SECOND;

    /** The share of requests that are reserved in the log, which is an assumption. */
    static final double RESERVED_SHARE = 0.05;

    /** The requests per second that are reserved in the log. */
    static final double RESERVED_PER_SECOND = REQUESTS_PER_SECOND * RESERVED_SHARE;

    static final double HOUR_SECONDS = 3_600;

    static final double DAY_SECONDS = 86_400;

    static final double MILLIS_PER_SECOND = 1_000;

    private TargetSize() {}
}
