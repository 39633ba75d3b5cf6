package org.cranberrygauge.proxy.stream;

import java.util.Optional;
import java.util.function.Consumer;

/** Tells where streams began, also those that began at other hosts. */
public interface StreamDirectory {

    /**
     * Records that a stream has begun or is resumed; to be called before its first event is forwarded.
     *
     * @param requestId The request that brought the first event.
     */
    void record(String requestId, StreamOrigin origin);

    /**
     * Looks up where a stream began.
     *
     * @param requestId The request that brought the first event.
     * @param found Receives the origin, or empty if no host that was asked knows it; called once.
     */
    void find(String requestId, Consumer<Optional<StreamOrigin>> found);
}
