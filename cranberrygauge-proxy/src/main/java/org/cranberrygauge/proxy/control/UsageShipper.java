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
 * Brings the usage counts of this host into the shared log: through the host that reads for the data centre, or by itself.
 *
 * <p>Counts are cumulative and those of the newest windows are handed over again and again, so that neither a lost datagram
 * nor the end of the other host loses any. Used by one thread, but for the counter.
 */
public final class UsageShipper {

    /** The topic with the counts. */
    static final String TOPIC = "usage-counted";

    /** The pause between writes, or between datagrams to the host that writes, in milliseconds. */
    private static final long PAUSE_MILLIS = 1_000;

    /** The windows that are handed over each time. */
    private static final int HANDED_WINDOWS = 3;

    /** The hosts that get the counts of one that can't write them. */
    private static final int SUBSTITUTES = 3;

    /** The tools. */
    private final ControllerContext tools;

    /** What connects this host with the others. */
    private final HostNetwork network;

    /** The counts of this host. */
    private final UsageCounter counter;

    /** The name of this start of the host. */
    private final String incarnation;

    /** The counts that this host writes. */
    private final PendingUsageCounts gathering = new PendingUsageCounts();

    /** Notes when counts can't be written. */
    private final DependencyMonitor watch;

    /**
     * Creates a shipper.
     *
     * @param tools The tools.
     * @param network What connects this host with the others.
     * @param counter The counts of this host.
     * @param incarnation The name of this start of the host.
     */
    public UsageShipper(ControllerContext tools, HostNetwork network, UsageCounter counter, String incarnation) {
        this.tools = tools;
        this.network = network;
        this.counter = counter;
        this.incarnation = incarnation;
        this.watch = new DependencyMonitor("usage counts", tools.events());
        network.channel().onMessage(HostMessage._Fields.USAGE, (message, sender) -> gather(message.getUsage()));
    }

    /** Starts to write. */
    public void start() {
        tools.vertx().setPeriodic(PAUSE_MILLIS, fired -> tick());
    }

    /** Hands the counts over or writes them. */
    private void tick() {
        Optional<NetworkAddress> writer = network.relay().reader();
        if (writer.isEmpty()) {
            ship();
            return;
        }
        network.channel().send(HostMessage.usage(batch(own())), List.of(writer.get()));
        write();
    }

    /**
     * Writes the counts of this host and those that others handed over.
     *
     * @return The end of the write.
     */
    public Future<Void> ship() {
        own().forEach(gathering::merge);
        return write();
    }

    /**
     * Returns the newest counts of this host.
     *
     * @return The counts.
     */
    private List<UsageCount> own() {
        List<UsageCount> own = new ArrayList<>();
        counter.newest(HANDED_WINDOWS)
                .forEach((window, counts) -> own.add(new UsageCount(incarnation, window, counts)));
        return own;
    }

    /**
     * Writes the gathered counts that rose.
     *
     * @return The end of the write.
     */
    private Future<Void> write() {
        List<UsageCount> changed = gathering.drainChanged();
        if (changed.isEmpty()) {
            return Future.succeededFuture();
        }
        return tools.log()
                .append(TOPIC, MessageCodec.write(batch(changed)), OptionalLong.empty())
                .onSuccess(offset -> watch.reached(tools.time().monotonicMillis()))
                .onFailure(failure -> {
                    watch.failed(tools.time().monotonicMillis(), String.valueOf(failure.getMessage()));
                    gathering.requeue(changed);
                    handOver();
                })
                .mapEmpty();
    }

    /** Gives the counts of this host to some others, so that they outlive it while the log can't be reached. */
    private void handOver() {
        List<NetworkAddress> others = network.peers().addresses(tools.time().monotonicMillis());
        network.channel()
                .send(HostMessage.usage(batch(own())), others.subList(0, Math.min(SUBSTITUTES, others.size())));
    }

    /**
     * Takes counts that another host hands over.
     *
     * @param batch The counts.
     */
    private void gather(UsageBatch batch) {
        counts(batch).forEach(gathering::merge);
    }

    /**
     * Reads counts.
     *
     * @param batch The message.
     * @return The counts.
     */
    static List<UsageCount> counts(UsageBatch batch) {
        List<UsageCount> counts = new ArrayList<>();
        batch.getCounts()
                .forEach(counted -> counts.add(
                        new UsageCount(counted.getIncarnation(), counted.getWindow(), counted.getByCustomer())));
        return counts;
    }

    /**
     * Writes counts down.
     *
     * @param counts The counts.
     * @return The message.
     */
    private static UsageBatch batch(List<UsageCount> counts) {
        List<UsageCounted> written = new ArrayList<>();
        counts.forEach(count -> written.add(new UsageCounted(count.incarnation(), count.window(), count.byCustomer())));
        return new UsageBatch(written);
    }
}
