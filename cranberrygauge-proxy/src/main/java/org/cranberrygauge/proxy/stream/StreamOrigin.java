package org.cranberrygauge.proxy.stream;

import org.cranberrygauge.proxy.backend.Backend;

/**
 * Where a stream began, and therefore must go on. Immutable.
 *
 * @param pool The pool of the backend server that sent its first event.
 * @param version The version of that server's software.
 */
public record StreamOrigin(String pool, String version) {

    /** Returns the origin of a stream whose first event a backend server has sent. */
    public static StreamOrigin of(Backend backend) {
        return new StreamOrigin(backend.pool(), backend.version());
    }
}
