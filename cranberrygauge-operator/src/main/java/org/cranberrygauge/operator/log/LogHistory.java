package org.cranberrygauge.operator.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.decision.usage.UsageLedger;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * History gathered from the entries of the log as they are read.
 *
 * <p>Invariants: only what the state machines accepted as valid is reported as valid. Used by one thread.
 */
public final class LogHistory {

    private final List<Change> changes = new ArrayList<>();

    private final List<OrderStep> orders = new ArrayList<>();

    private final Map<Long, Window> windows = new TreeMap<>();

    private final List<DrainStep> drains = new ArrayList<>();

    /**
     * Adds an entry that has been applied to the state machines.
     *
     * @param atMillis The time of the append in milliseconds since the epoch.
     * @param results The results of applying the entry's records.
     * @param usage The usage after the entry.
     */
    void add(long offset, long atMillis, LogEntry entry, List<ApplyResult> results, UsageLedger usage) {
        for (ApplyResult result : results) {
            if (result instanceof ApplyResult.ChangeResult change) {
                changes.add(new Change(offset, atMillis, change.operator(), change.changeId(), change.verdict()));
            } else if (result instanceof ApplyResult.IntentResult intentResult) {
                orders.add(orderStep(offset, atMillis, intentResult));
            }
        }
        for (LogRecord record : entry.records()) {
            if (record instanceof LogRecord.OrderOutcome outcome) {
                orders.add(new OrderStep(
                        offset, atMillis, outcome.orderId(), "outcome", "", outcome.fencingNumber(), outcome.result()));
            } else if (record instanceof LogRecord.DrainStarted started) {
                started.backendServers()
                        .forEach(server ->
                                drains.add(new DrainStep(offset, atMillis, server, "drain_started", started.reason())));
            } else if (record instanceof LogRecord.WindowClose) {
                usage.nextToReport().ifPresent(window -> addWindow(atMillis, window));
            } else if (record instanceof LogRecord.WindowReported reported) {
                windows.computeIfPresent(reported.windowId(), (number, window) -> window.withReportedAt(atMillis));
            }
        }
    }

    /** Returns the changes of the configuration in the order of the log. */
    public List<Change> changes() {
        return List.copyOf(changes);
    }

    /** Returns the steps of orders in the order of the log. */
    public List<OrderStep> orders() {
        return List.copyOf(orders);
    }

    /** Returns the closed usage windows, ordered by number. */
    public List<Window> windows() {
        return List.copyOf(windows.values());
    }

    /** Returns the drains in the order of the log. */
    public List<DrainStep> drains() {
        return List.copyOf(drains);
    }

    private void addWindow(long atMillis, UsageLedger.ClosedWindow window) {
        windows.putIfAbsent(
                window.windowId(), new Window(window.windowId(), atMillis, 0, usageLines(window.figures())));
    }

    private static List<UsageLine> usageLines(Map<UsageKey, UsageFigures> figures) {
        Map<String, UsageLine> lines = new TreeMap<>();
        figures.forEach((key, usage) -> lines.put(
                key.toString(),
                new UsageLine(
                        key.customer(), key.className(), usage.calls(), usage.promptTokens(), usage.outputTokens())));
        return List.copyOf(lines.values());
    }

    private static OrderStep orderStep(long offset, long atMillis, ApplyResult.IntentResult intentResult) {
        LogRecord.OrderIntent intent = intentResult.intent();
        String result = intent.pool() + " to have " + intent.desiredCount() + " backend servers, reason "
                + intent.reason() + (intentResult.valid() ? "" : ", void: its holder no longer held the lease");
        return new OrderStep(
                offset, atMillis, intent.orderId(), "intent", intent.holder(), intent.fencingNumber(), result);
    }

    /**
     * A change of the configuration.
     *
     * @param offset The offset of the entry, which is the version if the change was accepted.
     * @param atMillis The time in milliseconds since the epoch.
     */
    public record Change(
            long offset, long atMillis, String operator, String changeId, ConfigurationState.Verdict verdict) {}

    /**
     * An intent or outcome in the life of an order.
     *
     * @param atMillis The time in milliseconds since the epoch.
     * @param holder The incarnation of the lease holder that wrote the step, or an empty string.
     * @param result What was ordered, or the result of the order.
     */
    public record OrderStep(
            long offset,
            long atMillis,
            String orderId,
            String step,
            String holder,
            long fencingNumber,
            String result) {}

    /**
     * A drain of a backend server.
     *
     * @param atMillis The time in milliseconds since the epoch.
     * @param reason The code of the reason.
     */
    public record DrainStep(long offset, long atMillis, String backendServer, String step, String reason) {}

    /** The usage of a customer in a class. */
    public record UsageLine(String customer, String className, long calls, long promptTokens, long outputTokens) {}

    /**
     * A closed usage window.
     *
     * @param closedAtMillis The time of the close in milliseconds since the epoch.
     * @param reportedAtMillis The time of the platform's acknowledgement in milliseconds since the epoch, or 0 if none.
     * @param lines The usage in a fixed order.
     */
    public record Window(long windowId, long closedAtMillis, long reportedAtMillis, List<UsageLine> lines) {

        public Window {
            lines = List.copyOf(lines);
        }

        Window withReportedAt(long atMillis) {
            return new Window(windowId, closedAtMillis, atMillis, lines);
        }
    }
}
