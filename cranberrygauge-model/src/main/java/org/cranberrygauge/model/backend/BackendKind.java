package org.cranberrygauge.model.backend;

/** The kind of a backend server. */
public enum BackendKind {
    /** An inference engine that serves language models. */
    MODEL,
    /** A plain HTTP service. */
    SERVICE
}
