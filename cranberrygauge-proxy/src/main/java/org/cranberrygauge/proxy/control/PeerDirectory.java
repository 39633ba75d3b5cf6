package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
final class PeerDirectory {

    /** The age up to which the work in a report counts, in milliseconds. */
    private static final long WORK_MILLIS = 1_500;

    /** The time for which a silent host still counts as one that shares budgets, in milliseconds. */
    private static final long MEMBER_MILLIS = 20_000;

    /** The time after which a silent host gets no more reports, in milliseconds. */
    private static final long FORGOTTEN_MILLIS = 60_000;

    /** The hosts by name. */
    private final Map<String, Peer> peers = new HashMap<>();

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
            peers.put(host, new Peer(address, 0, 0, Map.of(), false, nowMillis, Long.MIN_VALUE / 2));
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
                        report.isTakesRequests(),
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
     * @param takesRequests Whether it takes requests.
     * @param knownMillis The monotonic time at which it was last heard or announced.
     * @param heardMillis The monotonic time of its last report.
     */
    private record Peer(
            NetworkAddress address,
            long startedAtMillis,
            long sequence,
            Map<String, Work> work,
            boolean takesRequests,
            long knownMillis,
            long heardMillis) {}
}
