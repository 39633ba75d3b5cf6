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
 * What the log tells of the past, gathered while it is read.
 *
 * <p>Invariants: only what the state machines took as valid is told as such. Used by one thread.
 */
public final class LogHistory {

    /** The changes of the configuration. */
    private final List<Change> changes = new ArrayList<>();

    /** The steps of orders. */
    private final List<OrderStep> orders = new ArrayList<>();

    /** The closed usage windows by number. */
    private final Map<Long, Window> windows = new TreeMap<>();

    /** The drains. */
    private final List<DrainStep> drains = new ArrayList<>();

    /**
     * Takes an entry that was applied.
     *
     * @param offset The offset of the entry.
     * @param atMillis The time of the append in milliseconds of the epoch.
     * @param entry The entry.
     * @param effects What became of its records.
     * @param usage The usage after the entry.
     */
    void take(long offset, long atMillis, LogEntry entry, List<ApplyResult> effects, UsageLedger usage) {
        for (ApplyResult effect : effects) {
            if (effect instanceof ApplyResult.ChangeResult judged) {
                changes.add(new Change(offset, atMillis, judged.operator(), judged.changeId(), judged.verdict()));
            } else if (effect instanceof ApplyResult.IntentResult judged) {
                orders.add(intent(offset, atMillis, judged));
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
                usage.nextToReport().ifPresent(window -> closed(atMillis, window));
            } else if (record instanceof LogRecord.WindowReported reported) {
                windows.computeIfPresent(reported.windowId(), (number, window) -> window.reportedAt(atMillis));
            }
        }
    }

    /**
     * Returns the changes of the configuration.
     *
     * @return The changes in the order of the log.
     */
    public List<Change> changes() {
        return List.copyOf(changes);
    }

    /**
     * Returns the steps of orders.
     *
     * @return The steps in the order of the log.
     */
    public List<OrderStep> orders() {
        return List.copyOf(orders);
    }

    /**
     * Returns the closed usage windows.
     *
     * @return The windows in the order of their numbers.
     */
    public List<Window> windows() {
        return List.copyOf(windows.values());
    }

    /**
     * Returns the drains.
     *
     * @return The drains in the order of the log.
     */
    public List<DrainStep> drains() {
        return List.copyOf(drains);
    }

    /**
     * Notes a window that was closed.
     *
     * @param atMillis The time of the close.
     * @param window The window.
     */
    private void closed(long atMillis, UsageLedger.ClosedWindow window) {
        windows.putIfAbsent(window.windowId(), new Window(window.windowId(), atMillis, 0, written(window.figures())));
    }

    /**
     * Converts the figures of a window.
     *
     * @param figures The usage by customer and class.
     * @return The lines in a fixed order.
     */
    private static List<UsageLine> written(Map<UsageKey, UsageFigures> figures) {
        Map<String, UsageLine> lines = new TreeMap<>();
        figures.forEach((key, usage) -> lines.put(
                key.toString(),
                new UsageLine(
                        key.customer(), key.className(), usage.calls(), usage.promptTokens(), usage.outputTokens())));
        return List.copyOf(lines.values());
    }

    /**
     * Converts an intent.
     *
     * @param offset The offset.
     * @param atMillis The time.
     * @param judged The intent and whether it is valid.
     * @return The step.
     */
    private static OrderStep intent(long offset, long atMillis, ApplyResult.IntentResult judged) {
        LogRecord.OrderIntent intent = judged.intent();
        String result = intent.pool() + " shall have " + intent.desiredCount() + ", reason " + intent.reason()
                + (judged.valid() ? "" : ", void: the lease had passed on");
        return new OrderStep(
                offset, atMillis, intent.orderId(), "intent", intent.holder(), intent.fencingNumber(), result);
    }

    /**
     * A change of the configuration.
     *
     * @param offset The offset, which is the version if the change was accepted.
     * @param atMillis The time in milliseconds of the epoch.
     * @param operator The operator.
     * @param changeId The identifier of the change.
     * @param verdict What became of it.
     */
    public record Change(
            long offset, long atMillis, String operator, String changeId, ConfigurationState.Verdict verdict) {}

    /**
     * A step of an order.
     *
     * @param offset The offset.
     * @param atMillis The time in milliseconds of the epoch.
     * @param orderId The identifier of the order.
     * @param step The step.
     * @param holder The incarnation that was in charge, or an empty string.
     * @param fencingNumber The fencing number.
     * @param result What was ordered or what came of it.
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
     * @param offset The offset.
     * @param atMillis The time in milliseconds of the epoch.
     * @param backendServer The backend server.
     * @param step The step.
     * @param reason The reason code.
     */
    public record DrainStep(long offset, long atMillis, String backendServer, String step, String reason) {}

    /**
     * The usage of a customer in a class.
     *
     * @param customer The customer.
     * @param className The class.
     * @param calls The number of calls.
     * @param promptTokens The number of prompt tokens.
     * @param outputTokens The number of output tokens.
     */
    public record UsageLine(String customer, String className, long calls, long promptTokens, long outputTokens) {}

    /**
     * A closed usage window.
     *
     * @param windowId The number of the window.
     * @param closedAtMillis The time of the close in milliseconds of the epoch.
     * @param reportedAtMillis The time of the platform's acknowledgement, or 0.
     * @param lines The usage.
     */
    public record Window(long windowId, long closedAtMillis, long reportedAtMillis, List<UsageLine> lines) {

        /** Copies the list. */
        public Window {
            lines = List.copyOf(lines);
        }

        /**
         * Notes the acknowledgement.
         *
         * @param atMillis The time in milliseconds of the epoch.
         * @return The window.
         */
        Window reportedAt(long atMillis) {
            return new Window(windowId, closedAtMillis, atMillis, lines);
        }
    }
}
