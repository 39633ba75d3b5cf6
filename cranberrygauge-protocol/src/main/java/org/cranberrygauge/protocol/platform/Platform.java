package org.cranberrygauge.protocol.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * The interfaces of the platform, except its log.
 *
 * <p>Implementations are safe for use by several threads. A failed call may have taken effect.
 */
public interface Platform {

    /** Reads the list of backend servers, which may lag behind their actual state. */
    CompletionStage<List<ListedBackendServer>> backendServers();

    /**
     * Reads the list of the entry hosts of this deployment, live or leaving, which may lag behind their actual state.
     */
    CompletionStage<List<String>> entryHosts();

    /** Orders a number of backend servers for a pool. */
    CompletionStage<OrderAnswer> order(Order order);

    /** Reports a usage window and completes once the platform has acknowledged it. */
    CompletionStage<Void> reportUsage(UsageReport report);

    /**
     * An order that states the whole desired state of one pool.
     *
     * @param orderId The identifier, which makes the order idempotent.
     * @param fencingNumber The fencing number of the sender's lease.
     * @param pool The name of the pool.
     * @param desiredCount The desired number of backend servers in the pool.
     * @param deadlineMillis The time after which the platform drops the order in milliseconds since the epoch.
     */
    record Order(String orderId, long fencingNumber, String pool, int desiredCount, long deadlineMillis) {}

    /**
     * The platform's response to an order.
     *
     * @param result The result code.
     * @param presentCount The number of backend servers in the pool afterwards.
     */
    record OrderAnswer(String result, int presentCount) {}

    /**
     * The report of one usage window.
     *
     * @param windowId The number of the window.
     * @param fencingNumber The fencing number of the sender's lease.
     * @param figures The usage by customer and class.
     */
    record UsageReport(long windowId, long fencingNumber, Map<UsageKey, UsageFigures> figures) {

        public UsageReport {
            figures = Map.copyOf(figures);
        }
    }
}
