package org.cranberrygauge.protocol.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * The interfaces of the platform besides its log.
 *
 * <p>Implementations are safe for use by several threads. A failed call may have taken effect.
 */
public interface Platform {

    /**
     * Reads the lagging list of backend servers.
     *
     * @return The list.
     */
    CompletionStage<List<ListedBackendServer>> backendServers();

    /**
     * Reads the lagging list of the entry hosts of this deployment.
     *
     * @return The names of the hosts, live or leaving.
     */
    CompletionStage<List<String>> entryHosts();

    /**
     * Orders that a pool shall have a number of backend servers.
     *
     * @param order The order.
     * @return What the platform did.
     */
    CompletionStage<OrderAnswer> order(Order order);

    /**
     * Reports a usage window.
     *
     * @param report The report.
     * @return Completes when the platform acknowledged it.
     */
    CompletionStage<Void> reportUsage(UsageReport report);

    /**
     * An order that states the whole desired state of one pool.
     *
     * @param orderId The identifier, which makes a copy harmless.
     * @param fencingNumber The fencing number of the sender's lease.
     * @param pool The name of the pool.
     * @param desiredCount The number of backend servers that the pool shall have.
     * @param deadlineMillis The time after which the platform drops the order, in milliseconds of the epoch.
     */
    record Order(String orderId, long fencingNumber, String pool, int desiredCount, long deadlineMillis) {}

    /**
     * What the platform did with an order.
     *
     * @param result The result code.
     * @param presentCount The number of backend servers of the pool after it.
     */
    record OrderAnswer(String result, int presentCount) {}

    /**
     * A report of one usage window.
     *
     * @param windowId The number of the window.
     * @param fencingNumber The fencing number of the sender's lease.
     * @param figures The usage by customer and class.
     */
    record UsageReport(long windowId, long fencingNumber, Map<UsageKey, UsageFigures> figures) {

        /** Copies the map. */
        public UsageReport {
            figures = Map.copyOf(figures);
        }
    }
}
