package org.cranberrygauge.decision.cleaning;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;
import java.time.temporal.TemporalAdjusters;
import org.cranberrygauge.model.configuration.CleaningWindow;

/**
 * One weekly occurrence of a cleaning window.
 *
 * @param startMillis The start in milliseconds since the epoch.
 * @param endMillis The end in milliseconds since the epoch.
 */
public record CleaningOccurrence(String dataCentre, long startMillis, long endMillis) {

    private static final long WEEK_DAYS = 7;

    /**
     * Returns the most recent occurrence that has begun.
     *
     * @param wallMillis The current time in milliseconds since the epoch.
     */
    public static CleaningOccurrence last(CleaningWindow window, long wallMillis) {
        ZonedDateTime now = Instant.ofEpochMilli(wallMillis).atZone(ZoneOffset.UTC);
        ZonedDateTime start = now.truncatedTo(ChronoUnit.DAYS)
                .with(TemporalAdjusters.previousOrSame(window.day()))
                .plusMinutes(window.startMinute());
        if (start.isAfter(now)) {
            start = start.minusDays(WEEK_DAYS);
        }
        long startMillis = start.toInstant().toEpochMilli();
        long lengthMillis = Duration.ofMinutes(window.durationMinutes()).toMillis();
        return new CleaningOccurrence(window.dataCentre(), startMillis, startMillis + lengthMillis);
    }

    /**
     * Returns whether the window is open.
     *
     * @param wallMillis The current time in milliseconds since the epoch.
     */
    public boolean isOpen(long wallMillis) {
        return wallMillis >= startMillis && wallMillis < endMillis;
    }

    /** Returns the identifier of a backend server's drain in this occurrence. */
    public String drainId(String backendServer) {
        return CleaningPlanner.DRAIN_PREFIX + startMillis + "/" + backendServer;
    }
}
