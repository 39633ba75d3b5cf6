package org.cranberrygauge.proxy;

import io.vertx.core.Context;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cranberrygauge.proxy.stream.OriginLookup;
import org.cranberrygauge.proxy.stream.StreamDirectory;
import org.cranberrygauge.proxy.stream.StreamOrigin;

/**
 * Calls what the controllers know of streams on their event loop, and returns results on that of requests. To be called on
 * the event loop of requests.
 */
final class EventLoopStreams implements StreamDirectory, OriginLookup {

    private final Context controlContext;

    private final Context requestContext;

    /** Supplies the directory, which exists once the controllers have started. */
    private final Supplier<StreamDirectory> directory;

    /** Supplies the lookup, which exists once the controllers have started. */
    private final Supplier<OriginLookup> lookup;

    EventLoopStreams(
            Context controlContext,
            Context requestContext,
            Supplier<StreamDirectory> directory,
            Supplier<OriginLookup> lookup) {
        this.controlContext = controlContext;
        this.requestContext = requestContext;
        this.directory = directory;
        this.lookup = lookup;
    }

    @Override
    public void record(String requestId, StreamOrigin origin) {
        controlContext.runOnContext(run -> directory.get().record(requestId, origin));
    }

    @Override
    public void find(String requestId, Consumer<Optional<StreamOrigin>> found) {
        controlContext.runOnContext(run -> directory.get().find(requestId, origin -> answer(origin, found)));
    }

    @Override
    public void findOnly(String pool, Consumer<Optional<StreamOrigin>> found) {
        controlContext.runOnContext(run -> lookup.get().findOnly(pool, origin -> answer(origin, found)));
    }

    private void answer(Optional<StreamOrigin> origin, Consumer<Optional<StreamOrigin>> found) {
        requestContext.runOnContext(run -> found.accept(origin));
    }
}
