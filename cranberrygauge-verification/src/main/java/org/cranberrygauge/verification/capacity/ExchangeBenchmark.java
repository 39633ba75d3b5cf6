package org.cranberrygauge.verification.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.decision.routing.BackendTable;
import org.cranberrygauge.decision.routing.OutlierDetection;
import org.cranberrygauge.decision.share.SlotDivision;
import org.cranberrygauge.decision.topology.ControlNode;
import org.cranberrygauge.decision.topology.ExchangePlan;
import org.cranberrygauge.gateway.schedule.BackendTableUpdater;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.runtime.blackboard.Blackboard;

/**
 * Measures the Thrift exchange of reports between many nodes, in one process without sockets.
 *
 * <p>A message counts both where it is sent and where it is received, because a node pays for both. Not thread-safe.
 */
final class ExchangeBenchmark {

    static final int[] NODES = {4, 8, 16, 32, 64};

    /** The backend servers with requests in flight from one node if every node uses every server. */
    static final int SERVERS_IN_USE = 139;

    /** The backend servers with requests in flight from one node if it uses those of its cell. */
    static final int CELL_SERVERS = 24;

    /** The bytes of the frame, the method name and the message header of a call or an answer. */
    private static final int FRAME_BYTES = 20;

    /** The numbers of peers whose counts a routing decision sums. */
    private static final int[] PEERS = {3, 7, 16, 32, 63};

    /** The measured numbers of backend servers. */
    private static final int[] SERVERS = {8, 64, 134, 400, 940};

    private final Meter meter;

    private final TSerializer serializer;

    private final TDeserializer deserializer;

    ExchangeBenchmark(Meter meter) throws TException {
        this.meter = meter;
        this.serializer = new TSerializer(new TCompactProtocol.Factory());
        this.deserializer = new TDeserializer(new TCompactProtocol.Factory());
    }

    List<Slope> measure() throws TException {
        List<Slope> slopes = new ArrayList<>();
        measureRounds("all to all", ExchangePlan.AllToAll.INSTANCE, SERVERS_IN_USE, slopes);
        measureRounds("cells", ExchangePlan.Cells.standard(), CELL_SERVERS, slopes);
        measureReports(slopes);
        measureRouting(slopes);
        measurePlan(slopes);
        return slopes;
    }

    /** Creates nodes spread evenly over the data centres. */
    static List<ControlNode> nodes(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new ControlNode("host-" + number, "centre-" + number % SyntheticData.DATA_CENTRES))
                .toList();
    }

    /** Counts the messages that the busiest node sends and receives in one round. */
    static int messages(ExchangePlan plan, List<ControlNode> nodes) {
        boolean once = plan instanceof ExchangePlan.Cells;
        Map<ControlNode, Integer> calls = new HashMap<>();
        for (ControlNode node : nodes) {
            Set<ControlNode> peers = once ? plan.callsOf(node, nodes) : plan.peersOf(node, nodes);
            calls.merge(node, peers.size(), Integer::sum);
            peers.forEach(peer -> calls.merge(peer, 1, Integer::sum));
        }
        return 2 * calls.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Measures one round of exchange at the busiest node; reports list the given number of backend servers. */
    private void measureRounds(String name, ExchangePlan plan, int servers, List<Slope> slopes) throws TException {
        List<Sample> messages = new ArrayList<>();
        List<Sample> bytes = new ArrayList<>();
        List<Sample> micros = new ArrayList<>();
        GatewayReport report = SyntheticData.report(1, servers);
        byte[] wire = serializer.serialize(report);
        for (int count : NODES) {
            int number = messages(plan, nodes(count));
            messages.add(new Sample(count, number));
            bytes.add(new Sample(count, (double) number * (wire.length + FRAME_BYTES)));
            micros.add(new Sample(count, meter.micros(() -> round(report, wire, number))));
        }
        slopes.add(Slope.of("exchange messages a round: " + name, "nodes", "messages", messages));
        slopes.add(Slope.of("exchange bytes a round: " + name, "nodes", "bytes", bytes));
        slopes.add(Slope.of("exchange work a round: " + name, "nodes", "microseconds", micros));
    }

    /**
     * Serializes and deserializes the messages of one node in one round, half of which are sent, and returns the last
     * report.
     */
    private Object round(GatewayReport report, byte[] wire, int messages) {
        try {
            Object last = null;
            for (int message = 0; message < messages / 2; message++) {
                serializer.serialize(report);
                GatewayReport read = new GatewayReport();
                deserializer.deserialize(read, wire);
                last = peerReport(read);
            }
            return last;
        } catch (TException exception) {
            throw new IllegalStateException("serialization to memory must not fail", exception);
        }
    }

    private void measureReports(List<Slope> slopes) throws TException {
        List<Sample> bytes = new ArrayList<>();
        for (int servers : SERVERS) {
            bytes.add(new Sample(servers, serializer.serialize(SyntheticData.report(1, servers)).length));
        }
        slopes.add(Slope.of("report bytes", "backend servers in use", "bytes", bytes));
    }

    /** Measures the update of a routing table from the reports of peers. */
    private void measureRouting(List<Slope> slopes) {
        List<Sample> refresh = new ArrayList<>();
        for (int servers : SERVERS) {
            BackendTableUpdater updater = updater(servers, 0);
            BackendTable table = table();
            refresh.add(new Sample(servers, meter.micros(() -> refreshed(updater, table))));
        }
        slopes.add(Slope.of("routing view refresh by backend servers", "backend servers", "microseconds", refresh));
        List<Sample> peers = new ArrayList<>();
        for (int count : PEERS) {
            BackendTableUpdater updater = updater(SERVERS_IN_USE, count);
            BackendTable table = table();
            peers.add(new Sample(count, meter.micros(() -> refreshed(updater, table))));
        }
        slopes.add(Slope.of("routing view refresh by peers", "peers", "microseconds", peers));
    }

    /** Measures the computation of the cells. */
    private void measurePlan(List<Slope> slopes) {
        List<Sample> micros = new ArrayList<>();
        for (int count : new int[] {4, 8, 16, 32, 64, 128, 330}) {
            List<ControlNode> nodes = nodes(count);
            micros.add(new Sample(
                    count, meter.micros(() -> ExchangePlan.Cells.standard().peersOf(nodes.get(0), nodes))));
        }
        slopes.add(Slope.of("cells computed after a change of members", "nodes", "microseconds", micros));
    }

    /** Creates an updater of a table whose backend servers all serve one model. */
    private static BackendTableUpdater updater(int servers, int peers) {
        Blackboard blackboard = new Blackboard(0);
        blackboard.publish(IntStream.range(0, servers)
                .mapToObj(SyntheticData::server)
                .map(server -> new BackendServer(
                        server.name(),
                        server.address(),
                        server.dataCentre(),
                        server.kind(),
                        Set.of("model-0"),
                        server.supply(),
                        server.slots(),
                        server.checksFencing()))
                .map(server -> new ListedBackendServer(server, HostState.LIVE, ""))
                .toList());
        for (int peer = 0; peer < peers; peer++) {
            PeerReport report = peerReport(SyntheticData.report(peer, Math.min(servers, SERVERS_IN_USE)));
            blackboard.peers().put("host-" + peer, report);
        }
        return new BackendTableUpdater(blackboard, "host-self");
    }

    private static BackendTable table() {
        return new BackendTable(SlotDivision.DemandShare.INSTANCE, OutlierDetection.PEERS);
    }

    private static Object refreshed(BackendTableUpdater updater, BackendTable table) {
        updater.refresh(1, table, 0);
        return table;
    }

    private static PeerReport peerReport(GatewayReport report) {
        return new PeerReport(
                report.getGateway(),
                0,
                report.getConfigurationVersion(),
                report.getLogOffset(),
                report.getLogAgeMillis(),
                report.getInFlight(),
                report.isDraining());
    }
}
