package org.cranberrygauge.verification.capacity;

/** What a cost is counted in, and how much of it there is. */
enum Budget {
    /** Processor time of control on one node: 3.2 % of a core. */
    WORK("us/s", 32_000),
    /** Memory of control on one node: 32 MiB. */
    MEMORY("B", 32.0 * 1024 * 1024),
    /** Traffic of control on one node: 21 KiB a second. */
    TRAFFIC("B/s", 21 * 1024.0),
    /** Appends of the whole system, for several hundred a second. */
    APPENDS("appends/s", 300),
    /** The time in which a change is in force. */
    CHANGE("ms", 4_000),
    /** A size without a budget. */
    SIZE("B", 0),
    /** A time without a budget. */
    TIME("s", 0),
    /** Messages, which have no budget of their own. */
    MESSAGES("messages/s", 0);

    /** The unit. */
    private final String unit;

    /** The limit; 0 for none. */
    private final double limit;

    /**
     * Creates a budget.
     *
     * @param unit The unit.
     * @param limit The limit; 0 for none.
     */
    Budget(String unit, double limit) {
        this.unit = unit;
        this.limit = limit;
    }

    /**
     * Returns the unit.
     *
     * @return The unit.
     */
    String unit() {
        return unit;
    }

    /**
     * Returns the limit.
     *
     * @return The limit; 0 for none.
     */
    double limit() {
        return limit;
    }
}
