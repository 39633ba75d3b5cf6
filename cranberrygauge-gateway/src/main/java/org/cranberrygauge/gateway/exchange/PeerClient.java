package org.cranberrygauge.gateway.exchange;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.cranberrygauge.gateway.usage.UsageReplicator;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.protocol.generated.GatewayExchange;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.protocol.generated.LogSlice;
import org.cranberrygauge.protocol.platform.PlatformLog.StoredEntry;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.state.LogPosition;
import org.cranberrygauge.runtime.state.ProcessState;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Exchanges reports with one peer, and takes from it what the log does not give.
 *
 * <p>Used by one thread.
 */
final class PeerClient {

    /** The time after which a call to a peer is given up in milliseconds. */
    private static final int TIMEOUT_MILLIS = 500;

    /** The highest number of log entries in one call. */
    private static final int SLICE_LIMIT = 500;

    /** The address of the peer. */
    private final NetworkAddress address;

    /** The service that takes reports in. */
    private final ExchangeService service;

    /** Builds the report of this gateway. */
    private final Supplier<GatewayReport> ownReport;

    /** Gives copies of usage to a peer. */
    private final UsageReplicator usageCopies;

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The follower of the log. */
    private final LogFollower follower;

    /** The sources of time. */
    private final TimeSource time;

    /** The connection, or null. */
    private TSocket socket;

    /** The client on the connection, or null. */
    private GatewayExchange.Client client;

    /**
     * Creates a client.
     *
     * @param address The address of the peer.
     * @param service The service that takes reports in.
     * @param ownReport Builds the report of this gateway.
     * @param usageCopies Gives copies of usage to a peer.
     * @param blackboard The blackboard.
     * @param follower The follower of the log.
     * @param time The sources of time.
     */
    PeerClient(
            NetworkAddress address,
            ExchangeService service,
            Supplier<GatewayReport> ownReport,
            UsageReplicator usageCopies,
            ProcessState blackboard,
            LogFollower follower,
            TimeSource time) {
        this.address = address;
        this.service = service;
        this.ownReport = ownReport;
        this.usageCopies = usageCopies;
        this.blackboard = blackboard;
        this.follower = follower;
        this.time = time;
    }

    /** Exchanges reports once; a peer that does not answer is tried again next time. */
    void exchange() {
        try {
            connect();
            GatewayReport report = ownReport.get();
            Optional<UsageDelta> copy = usageCopies.attach(address.toString(), report);
            GatewayReport answer = client.exchange(report);
            usageCopies.answered(address.toString(), copy);
            service.take(answer);
            if (answer.getLogOffset() > blackboard.position().offset()) {
                readFromPeer();
            } else {
                noteFreshness(time.monotonicMillis(), answer.getLogOffset(), answer.getLogAgeMillis());
            }
        } catch (TException exception) {
            usageCopies.failed(address.toString());
            disconnect();
        }
    }

    /**
     * Takes entries from the peer.
     *
     * @throws TException If the peer does not answer.
     */
    private void readFromPeer() throws TException {
        LogSlice slice = client.readLog(blackboard.position().offset(), SLICE_LIMIT);
        List<StoredEntry> entries = slice.getEntries().stream()
                .map(entry -> new StoredEntry(entry.getOffset(), entry.getAppendedAtMillis(), entry.getPayload()))
                .toList();
        follower.offer(entries);
    }

    /**
     * Notes that this gateway knows as much as a peer that read the log's end.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param peerOffset The offset up to which the peer has read.
     * @param peerAgeMillis The time since the peer read the log's end.
     */
    private void noteFreshness(long nowMillis, long peerOffset, long peerAgeMillis) {
        LogPosition position = blackboard.position();
        long readAtMillis = nowMillis - peerAgeMillis - TIMEOUT_MILLIS;
        if (position.offset() >= peerOffset && readAtMillis > position.endReadAtMillis()) {
            blackboard.publish(new LogPosition(position.offset(), readAtMillis));
        }
    }

    /**
     * Connects unless connected.
     *
     * @throws TException If the peer can't be reached.
     */
    private void connect() throws TException {
        if (client != null) {
            return;
        }
        socket = new TSocket(address.host(), address.port(), TIMEOUT_MILLIS);
        TFramedTransport transport = new TFramedTransport(socket);
        transport.open();
        client = new GatewayExchange.Client(new TCompactProtocol(transport));
    }

    /** Drops the connection. */
    private void disconnect() {
        if (socket != null) {
            socket.close();
        }
        client = null;
    }
}
