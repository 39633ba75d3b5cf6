package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.BackendWork;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.proxy.routing.PeerLoads;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * The other hosts of the proxy, their addresses and what they last said.
 *
 * <p>Invariants: a report counts only while it is recent; of two starts of a host only the later counts. Used by one thread.
 */
public final class PeerDirectory {

    /** The age up to which the work in a report counts, in milliseconds. */
    private static final long WORK_MILLIS = 1_500;

    /** The time for which a silent host still counts as one that shares budgets, in milliseconds. */
    private static final long MEMBER_MILLIS = 20_000;

    /** The time after which a silent host gets no more reports, in milliseconds. */
    private static final long FORGOTTEN_MILLIS = 60_000;

    /** The age of the last report up to which a host is asked what it read, in milliseconds. */
    private static final long READER_MILLIS = 1_000;

    /** The name of this host. */
    private final String host;

    /** The data centre of this host. */
    private final String dataCentre;

    /** The other hosts by name. */
    private final Map<String, Peer> peers = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param host The name of this host.
     * @param dataCentre The data centre of this host.
     */
    public PeerDirectory(String host, String dataCentre) {
        this.host = host;
        this.dataCentre = dataCentre;
    }

    /**
     * Takes the address of a host.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param host The name of the host.
     * @param address The address at which it takes reports.
     */
    void announce(long nowMillis, String host, NetworkAddress address) {
        Peer known = peers.get(host);
        if (known == null) {
            peers.put(host, new Peer(address, 0, 0, Map.of(), "", false, nowMillis, Long.MIN_VALUE / 2));
        }
    }

    /**
     * Takes a report.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param report The report.
     * @param address The address it came from.
     * @return Whether the report is newer than those before.
     */
    boolean take(long nowMillis, HostReport report, NetworkAddress address) {
        Peer known = peers.get(report.getHost());
        if (known != null && isOlder(report, known)) {
            return false;
        }
        Map<String, Work> work = new HashMap<>();
        report.getWork().forEach((incarnation, entry) -> work.put(incarnation, work(entry)));
        peers.put(
                report.getHost(),
                new Peer(
                        address,
                        report.getStartedAtMillis(),
                        report.getSequence(),
                        work,
                        report.getDataCentre(),
                        report.isReadsLog(),
                        nowMillis,
                        nowMillis));
        return true;
    }

    /**
     * Returns the addresses to which reports go.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The addresses.
     */
    List<NetworkAddress> addresses(long nowMillis) {
        peers.values().removeIf(peer -> nowMillis - peer.knownMillis() > FORGOTTEN_MILLIS);
        List<NetworkAddress> addresses = new ArrayList<>();
        peers.values().forEach(peer -> addresses.add(peer.address()));
        return addresses;
    }

    /**
     * Adds up the work of the other hosts.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The work.
     */
    PeerLoads loads(long nowMillis) {
        Map<String, Work> total = new HashMap<>();
        int hosts = 1;
        for (Peer peer : peers.values()) {
            if (nowMillis - peer.knownMillis() < MEMBER_MILLIS) {
                hosts++;
            }
            if (nowMillis - peer.heardMillis() < WORK_MILLIS) {
                peer.work().forEach((incarnation, work) -> total.merge(incarnation, work, Work::plus));
            }
        }
        return new PeerLoads(total, hosts);
    }

    /**
     * Returns the host that reads the shared log for this one: the first by name of the data centre, or of all hosts if none of
     * the data centre can read.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param ownReads Whether this host can read.
     * @return The address of the host, or empty if this host reads by itself.
     */
    Optional<NetworkAddress> reader(long nowMillis, boolean ownReads) {
        Optional<String> near = firstReader(nowMillis, dataCentre::equals);
        if (ownReads) {
            return near.filter(name -> name.compareTo(host) < 0)
                    .map(name -> peers.get(name).address());
        }
        return near.or(() -> firstReader(nowMillis, any -> true))
                .map(name -> peers.get(name).address());
    }

    /**
     * Returns the first other host that reads the shared log.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param wanted The data centres that count.
     * @return Its name.
     */
    private Optional<String> firstReader(long nowMillis, Predicate<String> wanted) {
        return peers.entrySet().stream()
                .filter(entry -> entry.getValue().readsLog()
                        && wanted.test(entry.getValue().dataCentre()))
                .filter(entry -> nowMillis - entry.getValue().heardMillis() < READER_MILLIS)
                .map(Map.Entry::getKey)
                .min(Comparator.naturalOrder());
    }

    /**
     * Tells whether a report is older than what is known.
     *
     * @param report The report.
     * @param known What is known of its host.
     * @return Whether it is older.
     */
    private static boolean isOlder(HostReport report, Peer known) {
        if (report.getStartedAtMillis() != known.startedAtMillis()) {
            return report.getStartedAtMillis() < known.startedAtMillis();
        }
        return report.getSequence() <= known.sequence();
    }

    /**
     * Reads the work in a report.
     *
     * @param entry The entry.
     * @return The work.
     */
    private static Work work(BackendWork entry) {
        return new Work(entry.getRunning(), entry.getUnreadTokens(), entry.getHeldTokens(), entry.getShortRunning());
    }

    /**
     * Another host.
     *
     * @param address The address at which it takes reports.
     * @param startedAtMillis The time of its start in milliseconds of the epoch.
     * @param sequence The number of its last report.
     * @param work Its work by incarnation of the backend server.
     * @param dataCentre Its data centre; unknown before its first report.
     * @param readsLog Whether it may read the shared log for others.
     * @param knownMillis The monotonic time at which it was last heard or announced.
     * @param heardMillis The monotonic time of its last report.
     */
    private record Peer(
            NetworkAddress address,
            long startedAtMillis,
            long sequence,
            Map<String, Work> work,
            String dataCentre,
            boolean readsLog,
            long knownMillis,
            long heardMillis) {}
}
