package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cranberrygauge.decision.quarantine.BackendCrash;
import org.cranberrygauge.decision.quarantine.CrashingParts;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.CrashReport;
import org.cranberrygauge.protocol.generated.CrashSeen;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Exchanges with the other hosts which parts of prompts ran on crashed backend servers, and which completed.
 *
 * <p>A host tells all others of a crash that it saw, once. Every host repeats what is recent to a few others, so that
 * lost messages and partitions delay it only. A host that has started or was suspended asks the others. Not thread-safe.
 */
public final class CrashExchange {

    /** The interval between calls of {@link #update()}. */
    public static final long INTERVAL_MILLIS = 200;

    /** The time between two calls of {@link #update()} from which the process was suspended. */
    private static final long SUSPENDED_MILLIS = 1_000;

    /** The age up to which crashes are repeated. */
    private static final long REPEATED_CRASH_MILLIS = 3_000;

    /** The age up to which completions are repeated. */
    private static final long REPEATED_COMPLETION_MILLIS = 1_000;

    /** The number of updates between two repetitions of the crashes of blocked parts. */
    private static final int BLOCKED_UPDATES = 6;

    /** The number of other hosts to which a host repeats what it knows. */
    private static final int REPEATED_HOSTS = 8;

    /** The maximum number of crashes in one message, so that it fits into a datagram. */
    private static final int MAXIMUM_CRASHES = 12;

    private final TimeSource time;

    private final PeerDirectory peers;

    private final MessageTransport transport;

    private final CrashingParts crashingParts;

    private final EventLog events;

    private final Random random;

    private Set<Long> blocked = Set.of();

    /** Called when parts are blocked or released. */
    private Runnable blockedChange = () -> {};

    /** Whether no host has answered since this one asked. */
    private boolean asking = true;

    /** The hosts that were asked when they were found. */
    private int asked;

    private long lastUpdateMillis;

    private int updates;

    public CrashExchange(
            TimeSource time,
            PeerDirectory peers,
            MessageTransport transport,
            CrashingParts crashingParts,
            EventLog events,
            Random random) {
        this.time = time;
        this.peers = peers;
        this.transport = transport;
        this.crashingParts = crashingParts;
        this.events = events;
        this.random = random;
        this.lastUpdateMillis = time.monotonicMillis();
        peers.onHostFound(this::ask);
        transport.onMessage(HostMessage._Fields.CRASHES, (message, sender) -> receive(message.getCrashes(), sender));
    }

    /** Sets what is called when parts are blocked or released. */
    void onBlockedChange(Runnable action) {
        blockedChange = action;
    }

    /** Returns the crashes from which a host that knows none comes to block the same parts. */
    CrashReport blockedReport() {
        return new CrashReport(write(time.monotonicMillis(), crashingParts.crashesOfBlockedParts()), List.of(), false);
    }

    /**
     * Records crashes that an earlier process has stored.
     *
     * @param ageMillis The time since they were stored, in milliseconds.
     */
    void receiveStored(CrashReport report, long ageMillis) {
        long storedMillis = time.monotonicMillis() - Math.max(0, ageMillis);
        report.getCrashes().forEach(seen -> crashingParts.recordCrash(CrashReports.read(storedMillis, seen)));
    }

    /** Asks a host that was found, until one has answered. */
    private void ask(NetworkAddress host) {
        if (asking && asked < REPEATED_HOSTS) {
            asked++;
            transport.send(HostMessage.crashes(new CrashReport(List.of(), List.of(), true)), List.of(host));
        }
    }

    /** Records a crash that this host saw, and tells all others. */
    public void record(BackendCrash crash) {
        long now = time.monotonicMillis();
        crashingParts.recordCrash(crash);
        events.emit(new ControlEvents.BackendCrashSeen(
                crash.incarnation(), crash.parts().size()));
        CrashReport report = new CrashReport(List.of(CrashReports.write(now, crash)), List.of(), false);
        transport.send(HostMessage.crashes(report), peers.addresses(now));
    }

    /** Judges the known crashes, and repeats what is known to some other hosts. */
    public void update() {
        long now = time.monotonicMillis();
        asking |= now - lastUpdateMillis > SUSPENDED_MILLIS;
        lastUpdateMillis = now;
        updates++;
        publish(crashingParts.update(now));
        CrashReport report = buildReport(now, updates % BLOCKED_UPDATES == 0);
        if (asking || !report.getCrashes().isEmpty() || !report.getCompleted().isEmpty()) {
            transport.send(HostMessage.crashes(report.setAsks(asking)), someHosts(now));
        }
    }

    private void receive(CrashReport report, NetworkAddress sender) {
        long now = time.monotonicMillis();
        report.getCrashes().forEach(seen -> crashingParts.recordCrash(CrashReports.read(now, seen)));
        report.getCompleted().forEach(completed -> crashingParts.recordCompletion(CrashReports.read(now, completed)));
        if (report.isAsks()) {
            transport.send(HostMessage.crashes(buildReport(now, true)), List.of(sender));
        } else if (asking) {
            asking = false;
            publish(crashingParts.update(now));
        }
    }

    /** @param withBlocked Whether to include older crashes of blocked parts. */
    private CrashReport buildReport(long now, boolean withBlocked) {
        List<BackendCrash> crashes =
                new ArrayList<>(crashingParts.recentCrashes(now, REPEATED_CRASH_MILLIS, MAXIMUM_CRASHES));
        if (withBlocked) {
            crashes.addAll(crashingParts.crashesOfBlockedParts());
        }
        return new CrashReport(
                write(now, crashes),
                CrashReports.writeCompletions(now, crashingParts.recentCompletions(now, REPEATED_COMPLETION_MILLIS)),
                false);
    }

    private static List<CrashSeen> write(long now, List<BackendCrash> crashes) {
        return crashes.stream().map(crash -> CrashReports.write(now, crash)).toList();
    }

    private Collection<NetworkAddress> someHosts(long now) {
        List<NetworkAddress> addresses = new ArrayList<>(peers.addresses(now));
        Collections.shuffle(addresses, random);
        return addresses.subList(0, Math.min(REPEATED_HOSTS, addresses.size()));
    }

    /** Logs which parts are blocked or released. */
    private void publish(Set<Long> current) {
        Set<Long> added = new HashSet<>(current);
        added.removeAll(blocked);
        added.forEach(part -> events.emit(new ControlEvents.PromptPartBlocked(Long.toHexString(part))));
        Set<Long> removed = new HashSet<>(blocked);
        removed.removeAll(current);
        removed.forEach(part -> events.emit(new ControlEvents.PromptPartReleased(Long.toHexString(part))));
        blocked = current;
        if (!added.isEmpty() || !removed.isEmpty()) {
            blockedChange.run();
        }
    }
}
