package org.cranberrygauge.proxy.stream;

import java.util.Optional;
import java.util.function.Consumer;

/** Finds out where a stream began that no host knows. */
public interface OriginLookup {

    /**
     * Looks up where every stream of a pool began that callers may still resume.
     *
     * @param found Receives the origin if there is only one, or empty if there are several or it is not known; called
     *     once.
     */
    void findOnly(String pool, Consumer<Optional<StreamOrigin>> found);
}
