package org.cranberrygauge.decision.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.LogRecord.WindowClose;
import org.cranberrygauge.model.record.LogRecord.WindowReported;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * The usage that stands in the log, and its windows.
 *
 * <p>Invariants: the figures of a window are a pure function of the log's prefix up to its close, so that any holder of
 * the lease reports the same; a close is valid only if it carries the fencing number in force and the next window number;
 * what comes late falls into a later window. Used by one thread.
 */
public final class UsageLedger {

    /** The cumulative totals by gateway incarnation. */
    private final Map<String, Map<UsageKey, UsageFigures>> totals = new HashMap<>();

    /** The usage since the last close. */
    private final Map<UsageKey, UsageFigures> open = new HashMap<>();

    /** The closed windows that the platform has not acknowledged, by number. */
    private final TreeMap<Long, Map<UsageKey, UsageFigures>> unreported = new TreeMap<>();

    /** The number of the last closed window. */
    private long lastClosed;

    /**
     * Applies a delta that was read from the log.
     *
     * @param delta The delta.
     */
    public void apply(UsageDelta delta) {
        Map<UsageKey, UsageFigures> gateway = totals.computeIfAbsent(delta.gateway(), name -> new HashMap<>());
        delta.totals().forEach((key, figures) -> {
            UsageFigures before = gateway.getOrDefault(key, UsageFigures.none());
            UsageFigures after = before.maximum(figures);
            gateway.put(key, after);
            if (!after.equals(before)) {
                open.merge(key, after.minus(before), UsageFigures::plus);
            }
        });
    }

    /**
     * Tells whether the log has the figures of a key, or greater ones.
     *
     * @param gateway The incarnation of the gateway that counted.
     * @param key The key.
     * @param figures The cumulative figures.
     * @return Whether a delta with these figures would change nothing.
     */
    public boolean covers(String gateway, UsageKey key, UsageFigures figures) {
        UsageFigures logged = totals.getOrDefault(gateway, Map.of()).get(key);
        return logged != null && logged.maximum(figures).equals(logged);
    }

    /**
     * Applies a close that was read from the log.
     *
     * @param close The close.
     * @param fencingNumber The fencing number in force at that place of the log.
     * @return Whether the close is valid.
     */
    public boolean apply(WindowClose close, long fencingNumber) {
        if (close.windowId() != lastClosed + 1 || close.fencingNumber() != fencingNumber) {
            return false;
        }
        lastClosed = close.windowId();
        unreported.put(lastClosed, Map.copyOf(open));
        open.clear();
        return true;
    }

    /**
     * Applies an acknowledgement that was read from the log.
     *
     * @param reported The acknowledgement.
     */
    public void apply(WindowReported reported) {
        unreported.remove(reported.windowId());
    }

    /**
     * Returns the oldest closed window that the platform has not acknowledged.
     *
     * @return The window, or nothing.
     */
    public Optional<ClosedWindow> nextToReport() {
        return Optional.ofNullable(unreported.firstEntry())
                .map(entry -> new ClosedWindow(entry.getKey(), entry.getValue()));
    }

    /**
     * Returns the number of the last closed window.
     *
     * @return The number; 0 for none.
     */
    public long lastClosed() {
        return lastClosed;
    }

    /**
     * Returns the usage since the last close.
     *
     * @return The usage.
     */
    public Map<UsageKey, UsageFigures> open() {
        return Map.copyOf(open);
    }

    /**
     * A closed window.
     *
     * @param windowId The number of the window.
     * @param figures The usage by customer and class.
     */
    public record ClosedWindow(long windowId, Map<UsageKey, UsageFigures> figures) {}
}
