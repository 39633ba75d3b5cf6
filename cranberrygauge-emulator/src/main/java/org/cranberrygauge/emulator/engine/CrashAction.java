package org.cranberrygauge.emulator.engine;

import io.vertx.core.http.HttpServer;

/** What an engine does when a request crashes it. */
public interface CrashAction {

    /**
     * Crashes an engine.
     *
     * @param server The server of the engine.
     */
    void crash(HttpServer server);

    /** Ends the whole process at once. */
    enum Halt implements CrashAction {
        /** The only instance. */
        INSTANCE;

        /** The status with which the process ends. */
        private static final int STATUS = 134;

        @Override
        public void crash(HttpServer server) {
            Runtime.getRuntime().halt(STATUS);
        }
    }

    /** Closes the listener and all connections, for an engine that shares its process with others. */
    enum Close implements CrashAction {
        /** The only instance. */
        INSTANCE;

        @Override
        public void crash(HttpServer server) {
            server.close();
        }
    }
}
