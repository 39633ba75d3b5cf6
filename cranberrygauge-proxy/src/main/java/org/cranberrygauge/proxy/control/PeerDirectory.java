package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cranberrygauge.decision.engine.PrefillTokens;
import org.cranberrygauge.decision.hostload.OtherHosts;
import org.cranberrygauge.decision.topology.RendezvousHash;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.proxy.exchange.ForwardingTarget;
import org.cranberrygauge.proxy.routing.PeerLoads;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.cranberrygauge.proxy.store.StoreEra;

/**
 * The other hosts, their addresses and their last reports.
 *
 * <p>Invariants: a report is used only while it is recent; of two incarnations of a host only the later one is used.
 * Not thread-safe.
 */
public final class PeerDirectory {

    /** The maximum age at which the load in a report is used. */
    private static final long WORK_VALIDITY_MILLIS = 1_500;

    /** The time for which a silent host still counts as a member of the fleet. */
    private static final long MEMBERSHIP_MILLIS = 20_000;

    /** The time after which a silent host gets no more reports. */
    private static final long EVICTION_MILLIS = 60_000;

    /** The maximum age of the last report of a host that is queried for reads or permits. */
    private static final long HEARD_MILLIS = 1_000;

    private final String host;

    private final String dataCentre;

    private final Map<String, Peer> peers = new HashMap<>();

    private final SharingHosts sharing = new SharingHosts();

    /** Receives the address of each host that is found. */
    private Consumer<NetworkAddress> hostFound = address -> {};

    /** The highest version of the configuration that another host had in force. */
    private long configurationVersion = Long.MIN_VALUE;

    public PeerDirectory(String host, String dataCentre) {
        this.host = host;
        this.dataCentre = dataCentre;
    }

    /** Sets the receiver of the address of each host that is found. */
    void onHostFound(Consumer<NetworkAddress> receiver) {
        hostFound = receiver;
    }

    /**
     * Adds a host that was found in the shared log; ignored if it is known already.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param address The address at which the host receives messages.
     */
    void addHost(long nowMillis, String name, NetworkAddress address) {
        Peer current = peers.get(name);
        if (current == null) {
            sharing.recordListed(nowMillis, name);
            peers.put(
                    name,
                    new Peer(
                            address,
                            0,
                            0,
                            Map.of(),
                            Map.of(),
                            Map.of(),
                            "",
                            false,
                            false,
                            OptionalInt.empty(),
                            OptionalLong.empty(),
                            StoreEra.UNKNOWN,
                            nowMillis,
                            Long.MIN_VALUE / 2));
            hostFound.accept(address);
        }
    }

    /**
     * Applies a report.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param address The sender's address.
     * @return Whether the report is newer than all previous ones.
     */
    boolean update(long nowMillis, HostReport report, NetworkAddress address) {
        Peer current = peers.get(report.getHost());
        if (current != null && isOlder(report, current)) {
            return false;
        }
        sharing.recordHeard(nowMillis, report.getHost());
        if (report.isSetConfigurationVersion()) {
            configurationVersion = Math.max(configurationVersion, report.getConfigurationVersion());
        }
        peers.put(
                report.getHost(),
                new Peer(
                        address,
                        report.getStartedAtMillis(),
                        report.getSequence(),
                        LoadReports.work(report),
                        LoadReports.prefill(report),
                        speeds(report, Optional.ofNullable(current)),
                        report.getDataCentre(),
                        report.isReadsLog(),
                        report.isReachesBackends(),
                        LoadReports.loopDelay(report),
                        LoadReports.logAvailableMillis(report),
                        report.getEra(),
                        nowMillis,
                        nowMillis));
        if (current == null) {
            hostFound.accept(address);
        }
        return true;
    }

    /**
     * Evicts silent hosts and returns the addresses of the others.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    List<NetworkAddress> addresses(long nowMillis) {
        peers.values().removeIf(peer -> nowMillis - peer.lastSeenMillis() > EVICTION_MILLIS);
        List<NetworkAddress> addresses = new ArrayList<>();
        peers.values().forEach(peer -> addresses.add(peer.address()));
        return addresses;
    }

    /**
     * Sums the load caused by the other hosts.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    PeerLoads loads(long nowMillis) {
        Map<String, Work> total = new HashMap<>();
        Map<String, PrefillTokens> prefill = new HashMap<>();
        Map<String, List<Double>> speeds = new HashMap<>();
        for (Peer peer : peers.values()) {
            if (nowMillis - peer.lastReportMillis() < WORK_VALIDITY_MILLIS) {
                peer.work().forEach((incarnation, work) -> total.merge(incarnation, work, Work::plus));
                peer.prefill().forEach((pool, tokens) -> prefill.merge(pool, tokens, PrefillTokens::plus));
                peer.speeds()
                        .forEach((incarnation, ratio) -> speeds.computeIfAbsent(incarnation, name -> new ArrayList<>())
                                .add(ratio));
            }
        }
        return new PeerLoads(total, members(nowMillis), prefill, speeds);
    }

    /** Records that all hosts in the shared log have been added. */
    void recordListRead() {
        sharing.recordListRead();
    }

    /**
     * Returns the number of hosts that share retry budgets, including this one; 0 while it is not known.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    int sharingHosts(long nowMillis) {
        return sharing.count(nowMillis);
    }

    /** Returns the highest version of the configuration that another host had in force, or the lowest number. */
    public long configurationVersion() {
        return configurationVersion;
    }

    /**
     * Returns the number of hosts that share budgets, including this one.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    int members(long nowMillis) {
        return 1 + count(peer -> isMember(nowMillis, peer));
    }

    /**
     * Returns the host that reads the shared log for this one: the first by name in the data centre, or of all hosts if
     * none in the data centre can read.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param ownReads Whether this host can read.
     * @return The address of the host, or empty if this host should read by itself.
     */
    Optional<NetworkAddress> reader(long nowMillis, boolean ownReads) {
        Optional<String> localReader = firstReader(nowMillis, dataCentre::equals);
        if (ownReads) {
            return localReader
                    .filter(name -> name.compareTo(host) < 0)
                    .map(name -> peers.get(name).address());
        }
        return localReader
                .or(() -> firstReader(nowMillis, any -> true))
                .map(name -> peers.get(name).address());
    }

    /**
     * Returns the earliest monotonic time in milliseconds since which another host has read the shared log without an outage;
     * empty if none has reported that since a time.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param reportedSinceMillis The monotonic time before which reports are not used, in milliseconds.
     * @param era The era of the log that they must name.
     */
    OptionalLong logAvailableSinceMillis(long nowMillis, long reportedSinceMillis, long era) {
        return peers.values().stream()
                .filter(peer -> isHeard(nowMillis, peer) && peer.lastReportMillis() >= reportedSinceMillis)
                .filter(peer -> peer.era() == era && peer.logAvailableMillis().isPresent())
                .mapToLong(peer ->
                        peer.lastReportMillis() - peer.logAvailableMillis().getAsLong())
                .min();
    }

    /**
     * Returns the host that issues the permits for a backend server: one of those heard recently, the same for all
     * hosts that hear of the same ones.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @return The address of the host, or empty if it is this one.
     */
    Optional<NetworkAddress> issuer(long nowMillis, String incarnation) {
        List<String> heard = new ArrayList<>(List.of(host));
        peers.forEach((name, peer) -> {
            if (isHeard(nowMillis, peer)) {
                heard.add(name);
            }
        });
        String first =
                RendezvousHash.ranked(incarnation, heard, Function.identity()).get(0);
        return first.equals(host)
                ? Optional.empty()
                : Optional.of(peers.get(first).address());
    }

    /**
     * Returns other hosts in the order of their ranks for a key, the same for all hosts that know the same ones. Silent
     * hosts are included for a time, so that a short silence changes no ranks.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param count The maximum number of hosts.
     * @return Their addresses.
     */
    List<NetworkAddress> ranked(long nowMillis, String key, int count) {
        List<String> members = peers.entrySet().stream()
                .filter(entry -> isMember(nowMillis, entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        return RendezvousHash.ranked(key, members, Function.identity()).stream()
                .limit(count)
                .map(name -> peers.get(name).address())
                .toList();
    }

    /**
     * Returns the part of the known hosts that were heard recently, including this one, from 0 to 1. The others may
     * have failed, or may be cut off from this host and still send requests.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    double heardShare(long nowMillis) {
        return (1.0 + count(peer -> isHeard(nowMillis, peer))) / members(nowMillis);
    }

    /**
     * Returns the hosts that were heard recently and reach backend servers.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    List<ForwardingTarget> forwardingTargets(long nowMillis) {
        return peers.values().stream()
                .filter(peer -> peer.reachesBackends() && isHeard(nowMillis, peer))
                .map(peer -> new ForwardingTarget(peer.address(), peer.dataCentre()))
                .toList();
    }

    /**
     * Returns the load of the hosts that were heard recently.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    OtherHosts otherHosts(long nowMillis) {
        int unknown = count(peer -> isHeard(nowMillis, peer) && peer.loopDelay().isEmpty());
        List<Integer> delays = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (isHeard(nowMillis, peer)) {
                peer.loopDelay().ifPresent(delays::add);
            }
        }
        return new OtherHosts(nowMillis, unknown, delays);
    }

    private static boolean isHeard(long nowMillis, Peer peer) {
        return nowMillis - peer.lastReportMillis() < HEARD_MILLIS;
    }

    private static boolean isMember(long nowMillis, Peer peer) {
        return nowMillis - peer.lastSeenMillis() < MEMBERSHIP_MILLIS;
    }

    private int count(Predicate<Peer> filter) {
        return (int) peers.values().stream().filter(filter).count();
    }

    /** Returns the name of the first other host that reads the shared log. */
    private Optional<String> firstReader(long nowMillis, Predicate<String> dataCentreFilter) {
        return peers.entrySet().stream()
                .filter(entry -> entry.getValue().readsLog()
                        && dataCentreFilter.test(entry.getValue().dataCentre()))
                .filter(entry -> isHeard(nowMillis, entry.getValue()))
                .map(Map.Entry::getKey)
                .min(Comparator.naturalOrder());
    }

    /** Tells whether a report is not newer than the current one of its host. */
    private static boolean isOlder(HostReport report, Peer current) {
        if (report.getStartedAtMillis() != current.startedAtMillis()) {
            return report.getStartedAtMillis() < current.startedAtMillis();
        }
        return report.getSequence() <= current.sequence();
    }

    /** Returns the speed ratios that a host has reported last in its current incarnation. */
    private static Map<String, Double> speeds(HostReport report, Optional<Peer> before) {
        return LoadReports.speeds(report)
                .or(() -> before.filter(peer -> peer.startedAtMillis() == report.getStartedAtMillis())
                        .map(Peer::speeds))
                .orElse(Map.of());
    }

    /**
     * Another host.
     *
     * @param address The address at which it receives messages.
     * @param startedAtMillis The time of its start in milliseconds since the epoch.
     * @param sequence The sequence number of its last report.
     * @param work Its load by incarnation of the backend server.
     * @param prefill Its recent prefill work by pool.
     * @param speeds The time of backend servers relative to their pool, as it observed them, by incarnation.
     * @param dataCentre Its data centre; empty before its first report.
     * @param readsLog Whether it can read the shared log for others.
     * @param reachesBackends Whether it reaches backend servers.
     * @param loopDelay The smoothed delay of its event loop in milliseconds; empty if it reported none.
     * @param logAvailableMillis The time for which it has read the shared log without an outage, in milliseconds; empty if it
     *     reported none.
     * @param era The era of the log that it knows.
     * @param lastSeenMillis The monotonic time of its last report or, before the first, of its discovery.
     * @param lastReportMillis The monotonic time of its last report.
     */
    private record Peer(
            NetworkAddress address,
            long startedAtMillis,
            long sequence,
            Map<String, Work> work,
            Map<String, PrefillTokens> prefill,
            Map<String, Double> speeds,
            String dataCentre,
            boolean readsLog,
            boolean reachesBackends,
            OptionalInt loopDelay,
            OptionalLong logAvailableMillis,
            long era,
            long lastSeenMillis,
            long lastReportMillis) {}
}
