package org.cranberrygauge.proxy.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.StreamAnswer;
import org.cranberrygauge.protocol.generated.StreamBegan;
import org.cranberrygauge.protocol.generated.StreamQuestion;
import org.cranberrygauge.proxy.stream.StreamDirectory;
import org.cranberrygauge.proxy.stream.StreamOrigin;
import org.cranberrygauge.proxy.stream.StreamOrigins;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Keeps the origins of streams on several hosts, so that a stream can go on after the loss of the host that began it.
 *
 * <p>The identifier of a stream ranks all known hosts; copies go to the first of them, and a host that doesn't know a
 * stream asks these, and a few more in case its ranking differs. The effort for a stream does not depend on the number
 * of hosts. Not thread-safe.
 */
public final class StreamOriginExchange implements StreamDirectory {

    /** The number of other hosts that keep a copy. */
    private static final int COPIES = 3;

    /** The number of other hosts that are asked. */
    private static final int ASKED = 5;

    /** The time that the hosts have to answer before they are asked again. */
    private static final long ANSWER_TIMEOUT_MILLIS = 60;

    /** The number of times that hosts are asked, since a datagram may be lost. */
    private static final int TRIES = 2;

    private final TimeSource time;

    private final Timers timers;

    private final PeerDirectory peers;

    private final MessageTransport transport;

    private final StreamOrigins origins = new StreamOrigins();

    /** The lookups in progress, by number. */
    private final Map<Long, Lookup> lookups = new HashMap<>();

    private final QuestionNumbers numbers = new QuestionNumbers();

    public StreamOriginExchange(TimeSource time, Timers timers, PeerDirectory peers, MessageTransport transport) {
        this.time = time;
        this.timers = timers;
        this.peers = peers;
        this.transport = transport;
        transport.onMessage(HostMessage._Fields.STREAM_BEGAN, (message, sender) -> receive(message.getStreamBegan()));
        transport.onMessage(
                HostMessage._Fields.STREAM_QUESTION, (message, sender) -> answer(message.getStreamQuestion(), sender));
        transport.onMessage(
                HostMessage._Fields.STREAM_ANSWER, (message, sender) -> receive(message.getStreamAnswer(), sender));
    }

    @Override
    public void record(String requestId, StreamOrigin origin) {
        long now = time.monotonicMillis();
        origins.record(now, requestId, origin);
        StreamBegan began = new StreamBegan(requestId, origin.pool(), origin.version());
        transport.send(HostMessage.streamBegan(began), peers.ranked(now, requestId, COPIES));
    }

    @Override
    public void find(String requestId, Consumer<Optional<StreamOrigin>> found) {
        Optional<StreamOrigin> known = origins.find(requestId);
        List<NetworkAddress> asked = peers.ranked(time.monotonicMillis(), requestId, ASKED);
        if (known.isPresent() || asked.isEmpty()) {
            found.accept(known);
            return;
        }
        Lookup lookup = new Lookup(requestId, new HashSet<>(asked), found);
        long number = numbers.next();
        lookups.put(number, lookup);
        ask(number, lookup, TRIES);
    }

    /** Asks the hosts that have not answered yet, until the tries are used up. */
    private void ask(long number, Lookup lookup, int tries) {
        transport.send(HostMessage.streamQuestion(new StreamQuestion(number, lookup.requestId())), lookup.unanswered());
        timers.after(ANSWER_TIMEOUT_MILLIS, () -> {
            if (!lookups.containsKey(number)) {
                return;
            }
            if (tries == 1) {
                end(number, lookup, origins.find(lookup.requestId()));
            } else {
                ask(number, lookup, tries - 1);
            }
        });
    }

    private void receive(StreamBegan began) {
        origins.record(
                time.monotonicMillis(), began.getRequest(), new StreamOrigin(began.getPool(), began.getVersion()));
    }

    private void answer(StreamQuestion question, NetworkAddress sender) {
        StreamAnswer answer = new StreamAnswer(question.getNumber());
        origins.find(question.getRequest())
                .ifPresent(origin -> answer.setPool(origin.pool()).setVersion(origin.version()));
        transport.send(HostMessage.streamAnswer(answer), List.of(sender));
    }

    /** Ends a lookup with the first host that knows the stream, or when all have answered that they don't. */
    private void receive(StreamAnswer answer, NetworkAddress sender) {
        Lookup lookup = lookups.get(answer.getNumber());
        if (lookup == null) {
            return;
        }
        lookup.unanswered().remove(sender);
        if (answer.isSetPool() && answer.isSetVersion()) {
            StreamOrigin origin = new StreamOrigin(answer.getPool(), answer.getVersion());
            origins.record(time.monotonicMillis(), lookup.requestId(), origin);
            end(answer.getNumber(), lookup, Optional.of(origin));
        } else if (lookup.unanswered().isEmpty()) {
            end(answer.getNumber(), lookup, Optional.empty());
        }
    }

    private void end(long number, Lookup lookup, Optional<StreamOrigin> origin) {
        lookups.remove(number);
        lookup.found().accept(origin);
    }

    /**
     * A lookup in progress.
     *
     * @param unanswered The hosts that have not answered; hosts are removed from it.
     */
    private record Lookup(String requestId, Set<NetworkAddress> unanswered, Consumer<Optional<StreamOrigin>> found) {}
}
