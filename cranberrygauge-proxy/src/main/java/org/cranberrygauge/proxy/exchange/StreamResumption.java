package org.cranberrygauge.proxy.exchange;

import java.util.Optional;
import java.util.function.Consumer;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.stream.StreamOrigin;

/** Finds out where a stream that a caller resumes has to go on. Not thread-safe. */
final class StreamResumption {

    private final ExchangeContext context;

    private final ProxyRequest request;

    private final BackendSelection selection;

    StreamResumption(ExchangeContext context, ProxyRequest request, BackendSelection selection) {
        this.context = context;
        this.request = request;
        this.selection = selection;
    }

    /**
     * Looks up where the stream began, and confines the selection of servers to it.
     *
     * @param done Receives the reason for a rejection, or empty if the stream may go on; called once.
     */
    void resolve(Consumer<Optional<RejectReason>> done) {
        Optional<String> first = request.callerHeaders().firstRequestId();
        if (first.isPresent()) {
            context.streams().find(first.get(), origin -> confine(origin, done));
        } else {
            confine(Optional.empty(), done);
        }
    }

    private void confine(Optional<StreamOrigin> found, Consumer<Optional<RejectReason>> done) {
        if (found.isPresent()) {
            done.accept(confine(found.get()));
        } else {
            selection.findOnlyOrigin(only ->
                    done.accept(only.isEmpty() ? Optional.of(RejectReason.UNKNOWN_STREAM) : confine(only.get())));
        }
    }

    private Optional<RejectReason> confine(StreamOrigin origin) {
        return selection.confineTo(origin) ? Optional.empty() : Optional.of(RejectReason.NO_BACKEND_OF_VERSION);
    }
}
