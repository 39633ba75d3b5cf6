package org.cranberrygauge.verification.capacity;

/** The units in which costs are counted, with their budgets. */
enum Budget {
    /** Processor time of the control plane on one node: 3.2 % of a core. */
    WORK("us/s", 32_000),
    /** Memory of the control plane on one node: 32 MiB. */
    MEMORY("B", 32.0 * 1024 * 1024),
    /** Network traffic of the control plane on one node: 21 KiB per second. */
    TRAFFIC("B/s", 21 * 1024.0),
    /** Appends to the log by the whole system: several hundred per second. */
    APPENDS("appends/s", 300),
    /** The time until a configuration change is in force. */
    CHANGE("ms", 4_000),
    SIZE("B", 0),
    /** A duration without a budget. */
    TIME("s", 0),
    /** Messages, which have no budget of their own. */
    MESSAGES("messages/s", 0);

    private final String unit;

    /** The limit; 0 if there is none. */
    private final double limit;

    Budget(String unit, double limit) {
        this.unit = unit;
        this.limit = limit;
    }

    String unit() {
        return unit;
    }

    /** Returns the limit; 0 if there is none. */
    double limit() {
        return limit;
    }
}
