package org.cranberrygauge.decision.cleaning;

/** A step of the weekly cleaning of backend servers. */
public sealed interface CleaningAction {

    /** Returns the backend server to act on. */
    String backendServer();

    /** Drain a backend server, so that it gets no new work. */
    record Start(String drainId, String backendServer) implements CleaningAction {}

    /**
     * End a drain before the backend server was empty, and try again later.
     *
     * @param reason The reason code.
     */
    record Suspend(String drainId, String backendServer, String reason) implements CleaningAction {}

    /** End the drain of a backend server that was cleaned. */
    record Finish(String drainId, String backendServer) implements CleaningAction {}

    /** End the drain of a backend server because its window is over. */
    record Release(String drainId, String backendServer) implements CleaningAction {}

    /**
     * Report that a backend server was not cleaned in its window. It is due again in the next window.
     *
     * @param reason The reason code.
     */
    record Missed(String drainId, String backendServer, String reason) implements CleaningAction {}
}
