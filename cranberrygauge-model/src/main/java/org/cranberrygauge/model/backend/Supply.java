package org.cranberrygauge.model.backend;

/** How a backend server is supplied. */
public enum Supply {
    /** It stays until it is handed back. */
    REGULAR,
    /** It costs less and may be evicted with its whole data centre. */
    CHEAP
}
