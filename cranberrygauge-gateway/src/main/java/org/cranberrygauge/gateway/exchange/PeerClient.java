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
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.blackboard.LogPosition;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Exchanges reports with one peer, and fetches log entries from it that this gateway has not read.
 *
 * <p>Used by one thread.
 */
final class PeerClient {

    /** The connect and read timeout of calls to a peer in milliseconds. */
    private static final int TIMEOUT_MILLIS = 500;

    /** The largest number of log entries fetched with one call. */
    private static final int MAX_ENTRIES_PER_READ = 500;

    private final NetworkAddress address;

    private final ExchangeService service;

    private final Supplier<GatewayReport> ownReport;

    private final UsageReplicator usageReplicator;

    private final Blackboard blackboard;

    private final LogFollower follower;

    private final TimeSource time;

    /** The connection, or null if disconnected. */
    private TSocket socket;

    /** The client on the connection, or null if disconnected. */
    private GatewayExchange.Client client;

    PeerClient(
            NetworkAddress address,
            ExchangeService service,
            Supplier<GatewayReport> ownReport,
            UsageReplicator usageReplicator,
            Blackboard blackboard,
            LogFollower follower,
            TimeSource time) {
        this.address = address;
        this.service = service;
        this.ownReport = ownReport;
        this.usageReplicator = usageReplicator;
        this.blackboard = blackboard;
        this.follower = follower;
        this.time = time;
    }

    /**
     * Exchanges reports once. If the peer does not answer, the connection is closed and the next exchange reconnects.
     */
    void exchange() {
        try {
            connect();
            GatewayReport report = ownReport.get();
            Optional<UsageDelta> copy = usageReplicator.attach(address.toString(), report);
            GatewayReport answer = client.exchange(report);
            usageReplicator.acknowledged(address.toString(), copy);
            service.receive(answer);
            if (answer.getLogOffset() > blackboard.position().offset()) {
                readFromPeer();
            } else {
                adoptPeerFreshness(time.monotonicMillis(), answer.getLogOffset(), answer.getLogAgeMillis());
            }
        } catch (TException exception) {
            usageReplicator.failed(address.toString());
            disconnect();
        }
    }

    private void readFromPeer() throws TException {
        LogSlice slice = client.readLog(blackboard.position().offset(), MAX_ENTRIES_PER_READ);
        List<StoredEntry> entries = slice.getEntries().stream()
                .map(entry -> new StoredEntry(entry.getOffset(), entry.getAppendedAtMillis(), entry.getPayload()))
                .toList();
        follower.offer(entries);
    }

    /**
     * Adopts the freshness of a peer that read the end of the log, if this gateway has applied as many entries. The
     * timeout is subtracted, since the peer's answer may have been on its way for that long.
     *
     * @param nowMillis The monotonic time in milliseconds.
     * @param peerOffset The offset up to which the peer has read.
     * @param peerAgeMillis The time since the peer read the end of the log in milliseconds.
     */
    private void adoptPeerFreshness(long nowMillis, long peerOffset, long peerAgeMillis) {
        LogPosition position = blackboard.position();
        long readAtMillis = nowMillis - peerAgeMillis - TIMEOUT_MILLIS;
        if (position.offset() >= peerOffset && readAtMillis > position.endReadAtMillis()) {
            blackboard.publish(new LogPosition(position.offset(), readAtMillis));
        }
    }

    private void connect() throws TException {
        if (client != null) {
            return;
        }
        socket = new TSocket(address.host(), address.port(), TIMEOUT_MILLIS);
        TFramedTransport transport = new TFramedTransport(socket);
        transport.open();
        client = new GatewayExchange.Client(new TCompactProtocol(transport));
    }

    private void disconnect() {
        if (socket != null) {
            socket.close();
        }
        client = null;
    }
}
