package org.cranberrygauge.model.backend;

/** The kind of capacity that a backend server is ordered as. */
public enum Supply {
    /** Capacity that stays until it is released. */
    REGULAR,
    /** Cheaper capacity that may be evicted, all servers of a data centre at once. */
    CHEAP
}
