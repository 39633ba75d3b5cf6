package org.cranberrygauge.model.backend;

/** The kinds of backend servers. */
public enum BackendKind {
    /** An engine that runs language models. */
    MODEL,
    /** A plain service beside the engines. */
    SERVICE
}
