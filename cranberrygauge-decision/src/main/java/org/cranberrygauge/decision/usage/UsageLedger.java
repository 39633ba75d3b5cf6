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
 * The usage that stands in the log, and its windows.
 *
 * <p>Invariants: the figures of a window are a pure function of the log's prefix up to its close, so that any holder of
 * the lease reports the same; a close is valid only if it carries the fencing number in force and the next window number;
 * what comes late falls into a later window. Used by one thread.
 */
public final class UsageLedger {

    /** The cumulative totals by gateway incarnation, the one that was silent longest first. */
    private final Map<String, GatewayTotals> totals = new LinkedHashMap<>();

    /** The usage since the last close. */
    private final Map<UsageKey, UsageFigures> open = new HashMap<>();

    /** The closed windows that the platform has not acknowledged, by number. */
    private final TreeMap<Long, Map<UsageKey, UsageFigures>> unreported = new TreeMap<>();

    /** The number of the last closed window. */
    private long lastClosed;

    /**
     * Applies a delta that was read from the log.
     *
     * @param logTimeMillis The time of the log in milliseconds of the epoch.
     * @param delta The delta.
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
     * Forgets the totals of incarnations that are gone and were silent for long; a delta of such an incarnation would be
     * counted again as a whole, so the time must be longer than any append can be late.
     *
     * @param beforeMillis The time of the log before which the last delta was, in milliseconds of the epoch.
     * @param members The gateways.
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
     * Tells whether the log has the figures of a key, or greater ones.
     *
     * @param gateway The incarnation of the gateway that counted.
     * @param key The key.
     * @param figures The cumulative figures.
     * @return Whether a delta with these figures would change nothing.
     */
    public boolean covers(String gateway, UsageKey key, UsageFigures figures) {
        GatewayTotals known = totals.get(gateway);
        UsageFigures logged = known == null ? null : known.figures().get(key);
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

    /**
     * Returns all that the ledger knows.
     *
     * @return The totals.
     */
    public Totals export() {
        List<ClosedWindow> windows = unreported.entrySet().stream()
                .map(entry -> new ClosedWindow(entry.getKey(), entry.getValue()))
                .toList();
        return new Totals(List.copyOf(totals.values()), open, windows, lastClosed);
    }

    /**
     * Replaces all that the ledger knows.
     *
     * @param known The totals.
     */
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
     * @param gateway The incarnation.
     * @param lastDeltaMillis The time of the log at its last delta in milliseconds of the epoch.
     * @param figures The totals by customer and class.
     */
    public record GatewayTotals(String gateway, long lastDeltaMillis, Map<UsageKey, UsageFigures> figures) {

        /** Copies the map. */
        public GatewayTotals {
            figures = Map.copyOf(figures);
        }
    }

    /**
     * All that a ledger knows.
     *
     * @param gateways The cumulative totals, the gateway that was silent longest first.
     * @param open The usage since the last close.
     * @param unreported The closed windows that the platform has not acknowledged.
     * @param lastClosed The number of the last closed window.
     */
    public record Totals(
            List<GatewayTotals> gateways,
            Map<UsageKey, UsageFigures> open,
            List<ClosedWindow> unreported,
            long lastClosed) {

        /** Copies the lists and the map. */
        public Totals {
            gateways = List.copyOf(gateways);
            open = Map.copyOf(open);
            unreported = List.copyOf(unreported);
        }
    }
}
