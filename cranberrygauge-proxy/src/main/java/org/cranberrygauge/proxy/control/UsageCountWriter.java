package org.cranberrygauge.proxy.control;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.UsageBatch;
import org.cranberrygauge.protocol.generated.UsageCounted;
import org.cranberrygauge.proxy.leader.PendingUsageCounts;
import org.cranberrygauge.proxy.leader.UsageCount;
import org.cranberrygauge.proxy.leader.UsageCounter;

/**
 * Writes the usage counts of this host to the shared log, either directly or through the host that reads the log for
 * the data centre.
 *
 * <p>Counts are cumulative, and those of the newest windows are sent repeatedly, so that neither a lost datagram nor a
 * failure of the other host loses any. Not thread-safe, except that requests are counted concurrently.
 */
public final class UsageCountWriter {

    /** The topic with the usage counts. */
    static final String TOPIC = "usage-counted";

    /** The interval between writes, or between datagrams to the host that writes. */
    private static final long WRITE_INTERVAL_MILLIS = 1_000;

    /** The number of newest windows that are sent each time. */
    private static final int WRITTEN_WINDOWS = 3;

    /** The number of hosts that get the counts of a host that can't write them. */
    private static final int HANDOVER_HOSTS = 3;

    private final ControllerContext context;

    private final HostNetwork network;

    private final UsageCounter counter;

    private final String incarnation;

    /** The counts that this host writes. */
    private final PendingUsageCounts pending = new PendingUsageCounts();

    private final DependencyMonitor monitor;

    /** @param incarnation The incarnation of this host. */
    public UsageCountWriter(ControllerContext context, HostNetwork network, UsageCounter counter, String incarnation) {
        this.context = context;
        this.network = network;
        this.counter = counter;
        this.incarnation = incarnation;
        this.monitor = new DependencyMonitor("usage counts", context.events());
        network.channel().onMessage(HostMessage._Fields.USAGE, (message, sender) -> merge(message.getUsage()));
    }

    public void start() {
        context.log().era().onChange((previous, current) -> pending.requeueAll());
        context.vertx().setPeriodic(WRITE_INTERVAL_MILLIS, fired -> tick());
    }

    /** Sends the counts to the host that writes for this one, or writes them. */
    private void tick() {
        Optional<NetworkAddress> relayHost = network.relay().reader();
        if (relayHost.isEmpty()) {
            flush();
            return;
        }
        network.channel().send(HostMessage.usage(batch(ownCounts())), List.of(relayHost.get()));
        write();
    }

    /** Writes the counts of this host and those that others sent. */
    public Future<Void> flush() {
        ownCounts().forEach(pending::merge);
        return write();
    }

    private List<UsageCount> ownCounts() {
        List<UsageCount> ownCounts = new ArrayList<>();
        counter.newest(WRITTEN_WINDOWS)
                .forEach((window, counts) -> ownCounts.add(new UsageCount(incarnation, window, counts)));
        return ownCounts;
    }

    /** Writes the pending counts that increased. */
    private Future<Void> write() {
        List<UsageCount> changed = pending.drainChanged();
        if (changed.isEmpty()) {
            return Future.succeededFuture();
        }
        return context.log()
                .append(TOPIC, MessageCodec.write(batch(changed)), OptionalLong.empty())
                .onSuccess(offset -> monitor.recordSuccess(context.time().monotonicMillis()))
                .onFailure(failure -> {
                    monitor.recordFailure(context.time().monotonicMillis(), String.valueOf(failure.getMessage()));
                    pending.requeue(changed);
                    handOver();
                })
                .mapEmpty();
    }

    /** Sends the counts of this host to some others, so that they survive this host while the log is unreachable. */
    private void handOver() {
        List<NetworkAddress> others = network.peers().addresses(context.time().monotonicMillis());
        network.channel()
                .send(
                        HostMessage.usage(batch(ownCounts())),
                        others.subList(0, Math.min(HANDOVER_HOSTS, others.size())));
    }

    /** Merges counts that another host sent. */
    private void merge(UsageBatch batch) {
        counts(batch).forEach(pending::merge);
    }

    static List<UsageCount> counts(UsageBatch batch) {
        List<UsageCount> counts = new ArrayList<>();
        batch.getCounts()
                .forEach(message -> counts.add(
                        new UsageCount(message.getIncarnation(), message.getWindow(), message.getByCustomer())));
        return counts;
    }

    private static UsageBatch batch(List<UsageCount> counts) {
        List<UsageCounted> messages = new ArrayList<>();
        counts.forEach(
                count -> messages.add(new UsageCounted(count.incarnation(), count.window(), count.byCustomer())));
        return new UsageBatch(messages);
    }
}
