package org.cranberrygauge.decision.cleaning;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;
import java.time.temporal.TemporalAdjusters;
import org.cranberrygauge.model.configuration.CleaningWindow;

/**
 * One week's occurrence of a cleaning window.
 *
 * @param dataCentre The name of the data centre.
 * @param startMillis The start in milliseconds of the epoch.
 * @param endMillis The end in milliseconds of the epoch.
 */
public record CleaningOccurrence(String dataCentre, long startMillis, long endMillis) {

    /** The number of days in a week. */
    private static final long WEEK_DAYS = 7;

    /**
     * Finds the last occurrence that has begun.
     *
     * @param window The window.
     * @param wallMillis The present time in milliseconds of the epoch.
     * @return The occurrence.
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
     * Tells whether the occurrence is open.
     *
     * @param wallMillis The present time in milliseconds of the epoch.
     * @return Whether it is.
     */
    public boolean isOpen(long wallMillis) {
        return wallMillis >= startMillis && wallMillis < endMillis;
    }

    /**
     * Names the drain of a backend server in this occurrence.
     *
     * @param backendServer The name of the backend server.
     * @return The identifier of the drain.
     */
    public String drainId(String backendServer) {
        return CleaningPlanner.DRAIN_PREFIX + startMillis + "/" + backendServer;
    }
}
