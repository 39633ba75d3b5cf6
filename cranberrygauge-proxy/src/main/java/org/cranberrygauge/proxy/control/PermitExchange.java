package org.cranberrygauge.proxy.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cranberrygauge.decision.backend.BackendLimits;
import org.cranberrygauge.decision.backend.HeldPermits;
import org.cranberrygauge.decision.backend.PermitIssuer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.PermitAnswer;
import org.cranberrygauge.protocol.generated.PermitQuestion;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Shares the limits of backend servers, stated ones and those of cold servers, among all hosts: for each server, one host issues the permits to send
 * requests to it.
 *
 * <p>All hosts that hear of each other agree on that host without coordination. One that does not consider itself the
 * issuer of a server issues nothing, and the issuer leaves the share of the hosts that it does not hear to them, since
 * they may be on the other side of a partition. Not thread-safe.
 */
public final class PermitExchange {

    /** The time for which the permits of one request should suffice, in seconds. */
    private static final double REQUESTED_SECONDS = 0.2;

    /**
     * The time after the start in which a host that knows no others issues no permits. Many hosts that restart together would
     * else each take themselves for the only issuer.
     */
    private static final long LISTENING_MILLIS = 1_000;

    /** The maximum number of permits in a request. */
    private static final int MAXIMUM_REQUESTED = 5;

    private final TimeSource time;

    private final PeerDirectory peers;

    private final MessageTransport transport;

    private final BackendLimits limits;

    private final HeldPermits permits;

    /** The monotonic time of the start. */
    private final long startedMillis;

    /** Called after permits were issued to this host. */
    private final Runnable onPermits;

    private final PermitIssuer issuer = new PermitIssuer();

    /** The requests without an answer, by number. */
    private final Map<Long, PermitRequest> pending = new HashMap<>();

    private final QuestionNumbers numbers = new QuestionNumbers();

    public PermitExchange(
            TimeSource time,
            PeerDirectory peers,
            MessageTransport transport,
            BackendLimits limits,
            HeldPermits permits,
            Runnable onPermits) {
        this.time = time;
        this.peers = peers;
        this.transport = transport;
        this.limits = limits;
        this.startedMillis = time.monotonicMillis();
        this.permits = permits;
        this.onPermits = onPermits;
        transport.onMessage(
                HostMessage._Fields.PERMIT_QUESTION, (message, sender) -> answer(message.getPermitQuestion(), sender));
        transport.onMessage(HostMessage._Fields.PERMIT_ANSWER, (message, sender) -> receive(message.getPermitAnswer()));
    }

    /** Requests permits for a server with a limit; they are added to those that this host holds. */
    public void request(String incarnation) {
        long now = time.monotonicMillis();
        OptionalDouble perSecond = limits.perSecond(now, incarnation);
        if (perSecond.isEmpty()) {
            return;
        }
        int count = count(perSecond.getAsDouble(), peers.members(now));
        Optional<NetworkAddress> issuingHost = peers.issuer(now, incarnation);
        if (issuingHost.isEmpty()) {
            add(now, incarnation, issue(now, incarnation, count));
            return;
        }
        issuer.pause(incarnation);
        long number = numbers.next();
        pending.put(number, new PermitRequest(incarnation, now));
        transport.send(
                HostMessage.permitQuestion(new PermitQuestion(number, incarnation, count)), List.of(issuingHost.get()));
    }

    /**
     * Removes what belongs to servers that are gone, and requests that will get no answer in time.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param present The incarnations of the servers that are still there.
     */
    void retain(long nowMillis, Set<String> present) {
        permits.retain(present);
        issuer.retain(present);
        pending.values().removeIf(request -> nowMillis - request.sentMillis() > HeldPermits.VALIDITY_MILLIS);
    }

    private void answer(PermitQuestion question, NetworkAddress sender) {
        long now = time.monotonicMillis();
        String incarnation = question.getIncarnation();
        int issued = 0;
        if (peers.issuer(now, incarnation).isEmpty()) {
            issued = issue(now, incarnation, Math.max(0, Math.min(question.getCount(), MAXIMUM_REQUESTED)));
        } else {
            issuer.pause(incarnation);
        }
        transport.send(HostMessage.permitAnswer(new PermitAnswer(question.getNumber(), issued)), List.of(sender));
    }

    /** Issues permits; none for a server of whose limit this host does not know, and none before it knows other hosts. */
    private int issue(long now, String incarnation, int count) {
        OptionalDouble perSecond = limits.perSecond(now, incarnation);
        boolean alone = peers.members(now) == 1 && now - startedMillis < LISTENING_MILLIS;
        return perSecond.isEmpty() || alone
                ? 0
                : issuer.issue(now, incarnation, perSecond.getAsDouble(), peers.heardShare(now), count);
    }

    /** Adds the permits of an answer; an answer that was received before is ignored. */
    private void receive(PermitAnswer answer) {
        PermitRequest request = pending.remove(answer.getNumber());
        if (request != null) {
            add(request.sentMillis(), request.incarnation(), answer.getIssued());
        }
    }

    private void add(long requestedMillis, String incarnation, int count) {
        permits.add(requestedMillis, incarnation, count);
        if (count > 0) {
            onPermits.run();
        }
    }

    /** Returns the permits that a host needs for a short time if all hosts send equally. */
    private static int count(double perSecond, int hosts) {
        long share = (long) (perSecond / hosts * REQUESTED_SECONDS);
        return (int) Math.max(1, Math.min(MAXIMUM_REQUESTED, share));
    }

    /**
     * A request that was sent to the issuing host.
     *
     * @param sentMillis The monotonic time of the request in milliseconds.
     */
    private record PermitRequest(String incarnation, long sentMillis) {}
}
