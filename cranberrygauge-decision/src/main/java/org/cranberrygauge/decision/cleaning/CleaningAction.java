package org.cranberrygauge.decision.cleaning;

/** What is to be done for cleaning. */
public sealed interface CleaningAction {

    /**
     * Returns the backend server that the action is about.
     *
     * @return The name of the backend server.
     */
    String backendServer();

    /**
     * Give a backend server no new work.
     *
     * @param drainId The identifier of the drain.
     * @param backendServer The name of the backend server.
     */
    record Start(String drainId, String backendServer) implements CleaningAction {}

    /**
     * Give a backend server work again before it was empty, and try again later.
     *
     * @param drainId The identifier of the drain.
     * @param backendServer The name of the backend server.
     * @param reason The reason code.
     */
    record Suspend(String drainId, String backendServer, String reason) implements CleaningAction {}

    /**
     * Give a cleaned backend server work again.
     *
     * @param drainId The identifier of the drain.
     * @param backendServer The name of the backend server.
     */
    record Finish(String drainId, String backendServer) implements CleaningAction {}

    /**
     * Give a backend server work again since its window is over.
     *
     * @param drainId The identifier of the drain.
     * @param backendServer The name of the backend server.
     */
    record Release(String drainId, String backendServer) implements CleaningAction {}

    /**
     * Report that a backend server was not cleaned in its window; it is planned for the next.
     *
     * @param drainId The identifier of the drain.
     * @param backendServer The name of the backend server.
     * @param reason The reason code.
     */
    record Missed(String drainId, String backendServer, String reason) implements CleaningAction {}
}
