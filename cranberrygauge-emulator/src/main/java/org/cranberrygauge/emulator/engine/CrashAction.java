package org.cranberrygauge.emulator.engine;

import io.vertx.core.http.HttpServer;

/** Crashes an engine when a request asks for it. */
public interface CrashAction {

    /** Crashes the engine that the server belongs to. */
    void crash(HttpServer server);

    /** Terminates the process immediately. */
    enum Halt implements CrashAction {
        INSTANCE;

        /** The exit status of a process that SIGABRT has terminated. */
        private static final int STATUS = 134;

        @Override
        public void crash(HttpServer server) {
            Runtime.getRuntime().halt(STATUS);
        }
    }

    /** Closes the listener and its connections, for an engine that shares its process with others. */
    enum Close implements CrashAction {
        INSTANCE;

        @Override
        public void crash(HttpServer server) {
            server.close();
        }
    }
}
