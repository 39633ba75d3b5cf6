package org.cranberrygauge.decision.usage;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cranberrygauge.decision.membership.Membership;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.LogRecord.WindowClose;
import org.cranberrygauge.model.record.LogRecord.WindowReported;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * The usage recorded in the log, divided into windows.
 *
 * <p>Invariants: the usage of a window is a pure function of the log's prefix up to its close, so any holder of the
 * lease reports the same; a close is valid only if it carries the fencing number in force and the next window number;
 * late usage falls into a later window. Not thread-safe; confined to one thread.
 */
public final class UsageLedger {

    /** The cumulative totals by gateway incarnation, least recently reported first. */
    private final Map<String, GatewayTotals> totals = new LinkedHashMap<>();

    /** The usage since the last close. */
    private final Map<UsageKey, UsageFigures> open = new HashMap<>();

    /** The closed windows that the platform has not acknowledged, by number. */
    private final TreeMap<Long, Map<UsageKey, UsageFigures>> unreported = new TreeMap<>();

    /** The number of the last closed window; 0 for none. */
    private long lastClosed;

    /**
     * Applies a delta that was read from the log.
     *
     * @param logTimeMillis The time of the log in milliseconds since the epoch.
     */
    public void apply(long logTimeMillis, UsageDelta delta) {
        GatewayTotals known = totals.remove(delta.gateway());
        Map<UsageKey, UsageFigures> gateway = known == null ? new HashMap<>() : new HashMap<>(known.figures());
        delta.totals().forEach((key, figures) -> {
            UsageFigures before = gateway.getOrDefault(key, UsageFigures.none());
            UsageFigures after = before.maximum(figures);
            gateway.put(key, after);
            if (!after.equals(before)) {
                open.merge(key, after.minus(before), UsageFigures::plus);
            }
        });
        totals.put(delta.gateway(), new GatewayTotals(delta.gateway(), logTimeMillis, gateway));
    }

    /**
     * Removes the totals of incarnations that are gone and long silent. A later delta of such an incarnation would be
     * counted again in full, so the time must exceed the longest delay of an append.
     *
     * @param beforeMillis The log time before which the last delta must be, in milliseconds since the epoch.
     */
    public void forget(long beforeMillis, Membership members) {
        Iterator<GatewayTotals> silent = totals.values().iterator();
        while (silent.hasNext()) {
            GatewayTotals gateway = silent.next();
            if (gateway.lastDeltaMillis() >= beforeMillis) {
                return;
            }
            if (!members.contains(gateway.gateway())) {
                silent.remove();
            }
        }
    }

    /**
     * Returns whether the log has the given figures of a key, or greater ones, so that a delta with them would change
     * nothing.
     *
     * @param figures The cumulative figures.
     */
    public boolean covers(String gateway, UsageKey key, UsageFigures figures) {
        GatewayTotals known = totals.get(gateway);
        UsageFigures logged = known == null ? null : known.figures().get(key);
        return logged != null && logged.maximum(figures).equals(logged);
    }

    /**
     * Applies a window close that was read from the log.
     *
     * @param fencingNumber The fencing number in force at this position of the log.
     * @return {@code true} if the close is valid.
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

    /** Applies an acknowledgement of the platform that was read from the log. */
    public void apply(WindowReported reported) {
        unreported.remove(reported.windowId());
    }

    /**
     * Returns the oldest closed window that the platform has not acknowledged.
     *
     * @return The window, or empty if all are acknowledged.
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

    /** Returns the usage since the last close. */
    public Map<UsageKey, UsageFigures> open() {
        return Map.copyOf(open);
    }

    /**
     * A closed usage window.
     *
     * @param figures The usage by customer and class.
     */
    public record ClosedWindow(long windowId, Map<UsageKey, UsageFigures> figures) {}

    /** Returns the whole state of the ledger. */
    public Totals export() {
        List<ClosedWindow> windows = unreported.entrySet().stream()
                .map(entry -> new ClosedWindow(entry.getKey(), entry.getValue()))
                .toList();
        return new Totals(List.copyOf(totals.values()), open, windows, lastClosed);
    }

    /** Replaces the whole state of the ledger. */
    public void restore(Totals known) {
        totals.clear();
        known.gateways().forEach(gateway -> totals.put(gateway.gateway(), gateway));
        open.clear();
        open.putAll(known.open());
        unreported.clear();
        known.unreported().forEach(window -> unreported.put(window.windowId(), window.figures()));
        lastClosed = known.lastClosed();
    }

    /**
     * The cumulative totals of one gateway incarnation.
     *
     * @param lastDeltaMillis The log time of its last delta in milliseconds since the epoch.
     * @param figures The totals by customer and class.
     */
    public record GatewayTotals(String gateway, long lastDeltaMillis, Map<UsageKey, UsageFigures> figures) {

        public GatewayTotals {
            figures = Map.copyOf(figures);
        }
    }

    /**
     * The whole state of a ledger.
     *
     * @param gateways The cumulative totals, least recently reported first.
     * @param open The usage since the last close.
     * @param unreported The closed windows that the platform has not acknowledged.
     * @param lastClosed The number of the last closed window; 0 for none.
     */
    public record Totals(
            List<GatewayTotals> gateways,
            Map<UsageKey, UsageFigures> open,
            List<ClosedWindow> unreported,
            long lastClosed) {

        public Totals {
            gateways = List.copyOf(gateways);
            open = Map.copyOf(open);
            unreported = List.copyOf(unreported);
        }
    }
}
